// The log on standard error: plain lines, or one JSON object a line. It never blocks the event
// loop: what standard error does not take is kept up to a bound, then dropped and counted. One
// thread only.
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
    // Writes an event: its name and fields.
    template <class... Args>
    void line(fmt::format_string<Args...> format, Args&&... args) {
        add(false, fmt::format(format, std::forward<Args>(args)...));
    }
    // The same for an event that an operator has to look at.
    template <class... Args>
    void alarm(fmt::format_string<Args...> format, Args&&... args) {
        add(true, fmt::format(format, std::forward<Args>(args)...));
    }
    // Writes what standard error takes without blocking.
    void flush();

  private:
    void add(bool alarm, const std::string& text);
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace tideline::net
