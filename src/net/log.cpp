#include "net/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "net/limits.hpp"
#include "net/loop.hpp"

namespace tideline::net {

void Log::add(const std::string& text) {
    const std::string line = fmt::format("{:.3f} {}\n", clock_now(), text);
    if (held_.size() + line.size() > kLogHeld) {
        ++dropped_;
        return;
    }
    if (dropped_ > 0) held_ += fmt::format("{:.3f} {} log lines dropped\n", clock_now(), dropped_);
    dropped_ = 0;
    held_ += line;
    flush();
}

// A pipe that polls as writable takes PIPE_BUF bytes without blocking.
void Log::flush() {
    while (!held_.empty()) {
        pollfd out{STDERR_FILENO, POLLOUT, 0};
        if (::poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) return;
        const ssize_t sent =
            ::write(STDERR_FILENO, held_.data(), std::min<std::size_t>(held_.size(), PIPE_BUF));
        if (sent <= 0) return;
        held_.erase(0, static_cast<std::size_t>(sent));
    }
}

}  // namespace tideline::net
