#include "net/log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <nlohmann/json.hpp>

#include "net/limits.hpp"

namespace tideline::net {
namespace {

double unix_time(const spdlog::details::log_msg& message) {
    return std::chrono::duration<double>(message.time.time_since_epoch()).count();
}

class TextFormatter : public spdlog::formatter {
  public:
    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& to) override {
        fmt::format_to(std::back_inserter(to), "{:.3f} {}{}\n", unix_time(message),
                       message.level >= spdlog::level::warn ? "ALARM " : "",
                       std::string_view(message.payload.data(), message.payload.size()));
    }
    std::unique_ptr<formatter> clone() const override {
        return std::make_unique<TextFormatter>();
    }
};

class JsonFormatter : public spdlog::formatter {
  public:
    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& to) override {
        const nlohmann::ordered_json line = {
            {"time", std::round(unix_time(message) * 1e3) * 1e-3},
            {"level", message.level >= spdlog::level::warn ? "alarm" : "info"},
            {"text", std::string(message.payload.data(), message.payload.size())}};
        // Names chosen by clients or endpoints may be invalid UTF-8, for which dump() would throw
        // by default.
        const std::string text =
            line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        to.append(text.data(), text.data() + text.size());
        to.push_back('\n');
    }
    std::unique_ptr<formatter> clone() const override {
        return std::make_unique<JsonFormatter>();
    }
};

// Writes to standard error without blocking: keeps output that is not accepted at once, up to a
// limit.
class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    void write_pending() {
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        while (!pending_.empty()) {
            pollfd out{STDERR_FILENO, POLLOUT, 0};
            if (::poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
                return;
            }
            const ssize_t sent = ::write(STDERR_FILENO, pending_.data(),
                                         std::min<std::size_t>(pending_.size(), PIPE_BUF));
            if (sent <= 0) {
                return;
            }
            pending_.erase(0, static_cast<std::size_t>(sent));
        }
    }
    long dropped = 0;

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (pending_.size() + line.size() > kMaxPendingLogBytes) {
            ++dropped;
        } else {
            pending_.append(line.data(), line.size());
        }
    }
    void flush_() override {
        write_pending();
    }

  private:
    std::string pending_;
};

}  // namespace

struct Log::Impl {
    std::shared_ptr<StandardErrorSink> sink = std::make_shared<StandardErrorSink>();
    spdlog::logger logger{"tideline", sink};
};

Log::Log(Form form) : impl_(std::make_unique<Impl>()) {
    impl_->logger.set_formatter(form == Form::json
                                    ? std::unique_ptr<spdlog::formatter>(new JsonFormatter)
                                    : std::make_unique<TextFormatter>());
}
Log::~Log() {
    flush();
}

void Log::add(bool alarm, const std::string& text) {
    if (const long dropped = std::exchange(impl_->sink->dropped, 0); dropped > 0) {
        impl_->logger.warn("log lines dropped: count={}", dropped);
    }
    impl_->logger.log(alarm ? spdlog::level::warn : spdlog::level::info, "{}", text);
    flush();
}

void Log::flush() {
    impl_->sink->write_pending();
}

}  // namespace tideline::net
