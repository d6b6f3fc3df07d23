// What this member remembers of others' seals: the newest one that each life showed. A history that was
// changed after the fact, or two from one life, do not fit them.
#pragma once

#include <map>
#include <set>
#include <string>

#include "audit/ledger.hpp"

namespace tideline::audit {

class Heads {
  public:
    // What is wrong with the seal that a member shows now; empty where nothing is.
    std::string shown(const fleet::Name& name, const fleet::Life& life, std::uint64_t number,
                      const Digest& digest) {
        Head& head = heads_[name];
        if (life < head.life) return {};  // of a former life, come late
        if (life > head.life) head = {life, 0, {}, {}};
        if (number < head.number) return head.fault = "it shows an older seal than before";
        if (number == head.number && head.number > 0 && digest != head.digest)
            return head.fault = "it shows two seals of epoch " + std::to_string(number);
        head.number = number, head.digest = digest;
        return {};
    }
    // What in the record doesn't fit what was shown; empty where all does, or the epoch was folded.
    std::string fault_of(const Record& record) const {
        const auto it = heads_.find(record.name);
        if (it == heads_.end() || it->second.life != record.life || it->second.number == 0) return {};
        const Head& head = it->second;
        if (!head.fault.empty()) return head.fault;
        if (record.fold && record.fold->last > head.number) return {};
        if (record.fold && record.fold->last == head.number)
            return record.fold->digest == head.digest ? "" : changed(head.number);
        for (const Epoch& epoch : record.epochs)
            if (epoch.number == head.number) return epoch.digest == head.digest ? "" : changed(head.number);
        return "epoch " + std::to_string(head.number) + ", which it had sealed, is missing";
    }
    void forget(const fleet::Name& name) { heads_.erase(name); }

  private:
    struct Head {
        fleet::Life life;
        std::uint64_t number = 0;
        Digest digest;
        std::string fault;  // once found it stays
    };
    static std::string changed(std::uint64_t number) {
        return "epoch " + std::to_string(number) + " was changed after it was sealed";
    }
    std::map<fleet::Name, Head> heads_;
};

}  // namespace tideline::audit
