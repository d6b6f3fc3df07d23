// A ring buffer of bytes. It starts small and grows up to a limit.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

#include "net/limits.hpp"

namespace tideline::net {

class RingBuffer {
  public:
    explicit RingBuffer(std::size_t max_bytes = kMaxBufferBytes) : max_bytes_(max_bytes) {}

    std::size_t size() const {
        return size_;
    }
    bool empty() const {
        return size_ == 0;
    }
    // Changes the size limit; bytes beyond it stay.
    void set_max_bytes(std::size_t max_bytes) {
        max_bytes_ = max_bytes;
    }
    // Memory that the buffer takes up, in bytes.
    std::size_t capacity() const {
        return storage_.size();
    }
    bool full() const {
        return size_ >= max_bytes_;
    }

    // Returns contiguous free space, growing the buffer if needed; empty only if the limit is
    // reached.
    std::span<char> free_space() {
        if (size_ == storage_.size()) {
            grow_to(size_ + 1);
        }
        if (size_ == storage_.size()) {
            return {};
        }
        const std::size_t end = (first_ + size_) % storage_.size();
        return {storage_.data() + end, end < first_ ? first_ - end : storage_.size() - end};
    }
    // Marks the first `bytes` bytes of free_space() as written.
    void mark_filled(std::size_t bytes) {
        size_ += bytes;
    }
    // Appends the bytes. Returns false and appends nothing if the limit would be exceeded.
    bool put(std::string_view bytes) {
        if (size_ >= max_bytes_ || bytes.size() > max_bytes_ - size_) {
            return false;
        }
        if (size_ + bytes.size() > storage_.size()) {
            grow_to(size_ + bytes.size());
        }
        while (!bytes.empty()) {
            const auto free_bytes = free_space();
            const std::size_t part_size = std::min(free_bytes.size(), bytes.size());
            std::memcpy(free_bytes.data(), bytes.data(), part_size);
            mark_filled(part_size);
            bytes.remove_prefix(part_size);
        }
        return true;
    }
    // Returns the contiguous bytes at the front.
    std::string_view contiguous_front() const {
        return {storage_.data() + first_, std::min(size_, storage_.size() - first_)};
    }
    // Returns all bytes as one contiguous view; they are moved if they wrap around.
    std::string_view all() {
        if (first_ + size_ > storage_.size()) {
            resize(storage_.size());
        }
        return contiguous_front();
    }
    // Removes the first `bytes` bytes.
    void drop(std::size_t bytes) {
        size_ -= bytes;
        first_ = size_ == 0 ? 0 : (first_ + bytes) % storage_.size();
        if (size_ == 0 && storage_.size() > kInitialBufferBytes) {
            std::vector<char>().swap(storage_);
        }
    }

  private:
    // Makes room for at least so many bytes as far as the limit allows, and for twice the present
    // ones, so that many small additions seldom move the bytes.
    void grow_to(std::size_t bytes) {
        resize(std::min(max_bytes_, std::max({kInitialBufferBytes, bytes, 2 * storage_.size()})));
    }
    void resize(std::size_t bytes) {
        std::vector<char> resized(bytes);
        const std::string_view head = contiguous_front();
        std::copy(head.begin(), head.end(), resized.begin());
        std::copy_n(storage_.begin(), size_ - head.size(),
                    resized.begin() + static_cast<std::ptrdiff_t>(head.size()));
        storage_.swap(resized);
        first_ = 0;
    }

    std::vector<char> storage_;
    std::size_t first_ = 0;
    std::size_t size_ = 0;
    std::size_t max_bytes_;
};

}  // namespace tideline::net
