// A table whose entries are found by number. A number combines the index of a slot with its
// generation, which counts the uses of the slot, so that the number of a removed entry never finds
// the entry that replaced it. A number is never 0.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace tideline::net {

template <class Value>
class Slots {
  public:
    std::uint64_t add(Value value) {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        const std::uint32_t index = free_.back();
        free_.pop_back();
        Slot& slot = slots_[index];
        slot.value.emplace(std::move(value));
        ++count_;
        return number(index, ++slot.generation);
    }
    // Returns null if there is no entry with this number. The pointer is valid until an entry is
    // added.
    Value* find(std::uint64_t number) {
        const auto index = static_cast<std::uint32_t>(number);
        if (index >= slots_.size() || slots_[index].generation != number >> 32 ||
            !slots_[index].value) {
            return nullptr;
        }
        return &*slots_[index].value;
    }
    void remove(std::uint64_t number) {
        if (!find(number)) {
            return;
        }
        const auto index = static_cast<std::uint32_t>(number);
        slots_[index].value.reset();
        free_.push_back(index);
        --count_;
    }
    std::size_t size() const {
        return count_;
    }
    // Calls `callback` with the number and the value of each entry. The callback may remove that
    // entry.
    template <class Callback>
    void each(Callback callback) {
        for (std::uint32_t index = 0; index < slots_.size(); ++index) {
            if (slots_[index].value) {
                callback(number(index, slots_[index].generation), *slots_[index].value);
            }
        }
    }

  private:
    struct Slot {
        std::uint32_t generation = 0;
        std::optional<Value> value;
    };
    static std::uint64_t number(std::uint32_t index, std::uint32_t generation) {
        return (std::uint64_t{generation} << 32) | index;
    }
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t count_ = 0;
};

}  // namespace tideline::net
