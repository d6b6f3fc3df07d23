// Log on standard error, as plain lines or as one JSON object per line. It never blocks the event
// loop: output that standard error does not accept is kept up to a limit, beyond which lines are
// dropped and counted. Not thread-safe.
#pragma once

#include <fmt/core.h>

#include <memory>
#include <string>
#include <utility>

namespace tideline::net {

class Log {
  public:
    enum class Form { lines, json };
    explicit Log(Form form = Form::lines);
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;
    ~Log();
    // Writes an event: its name and its fields.
    template <class... Args>
    void line(fmt::format_string<Args...> format, Args&&... args) {
        add(false, fmt::format(format, std::forward<Args>(args)...));
    }
    // Writes an event that an operator has to look at.
    template <class... Args>
    void alarm(fmt::format_string<Args...> format, Args&&... args) {
        add(true, fmt::format(format, std::forward<Args>(args)...));
    }
    // Writes as much pending output as standard error accepts without blocking.
    void flush();

  private:
    void add(bool alarm, const std::string& text);
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace tideline::net
