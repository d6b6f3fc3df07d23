// The logger: lines to standard error, by fmt. It never blocks the loop: what can't be written is held up to
// a bound, then dropped and counted.
#pragma once

#include <fmt/core.h>

#include <string>
#include <utility>

namespace tideline::net {

class Log {
  public:
    template <class... Parts>
    void line(fmt::format_string<Parts...> form, Parts&&... parts) {
        add(fmt::format(form, std::forward<Parts>(parts)...));
    }
    void flush();

  private:
    void add(const std::string& text);
    std::string held_;
    long dropped_ = 0;
};

}  // namespace tideline::net
