// Owns a file descriptor and closes it when destroyed. Not thread-safe.
#pragma once

#include <unistd.h>

#include <utility>

namespace tideline::net {

class FileDescriptor {
  public:
    FileDescriptor() = default;
    // Takes ownership of `fd`; a negative value means none.
    explicit FileDescriptor(int fd) : fd_(fd) {}
    FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        reset(other.release());
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor() {
        reset();
    }

    // Returns the descriptor, or -1 if there is none. Keeps the ownership.
    int get() const {
        return fd_;
    }
    bool valid() const {
        return fd_ >= 0;
    }
    // Returns the descriptor and gives up its ownership.
    int release() {
        return std::exchange(fd_, -1);
    }
    // Closes the current descriptor and takes ownership of `fd`.
    void reset(int fd = -1) {
        const int closing = std::exchange(fd_, fd);
        if (closing >= 0) {
            ::close(closing);
        }
    }

  private:
    int fd_ = -1;
};

}  // namespace tideline::net
