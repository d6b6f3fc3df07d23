// Reads operator files with libconfig: every fault with its line, none of them fatal to the reading of the
// rest.
#pragma once

#include <fmt/format.h>

#include <cmath>
#include <functional>
#include <libconfig.h++>
#include <map>
#include <string>
#include <vector>

#include "fleet/treaty.hpp"
#include "net/link.hpp"

namespace tideline::fleet {

using libconfig::Setting;

class Reader {
  public:
    using Takes = std::function<void(const Setting&)>;
    explicit Reader(std::vector<Fault>& faults) : faults_(faults) {}

    void fault(const Setting& at, const std::string& what) {
        const std::string path = at.getPath();
        faults_.push_back(
            {static_cast<int>(at.getSourceLine()), path.empty() ? what : fmt::format("{}: {}", path, what)});
    }
    void group(const Setting& from, const std::map<std::string, Takes>& known) {
        if (!from.isGroup()) return fault(from, "is to be a group, { ... }");
        for (int i = 0; i < from.getLength(); ++i) {
            const auto takes = known.find(from[i].getName());
            if (takes == known.end())
                fault(from[i], "is not known here");
            else
                takes->second(from[i]);
        }
    }
    Takes text(std::string& to) {
        return [this, &to](const Setting& from) {
            if (from.getType() != Setting::TypeString || !*from.c_str())
                return fault(from, "is to be a text");
            to = from.c_str();
        };
    }
    Takes address(std::string& to) {
        return [this, &to](const Setting& from) {
            if (from.getType() != Setting::TypeString || !net::address_of(from.c_str()))
                return fault(from, "is to be host:port in digits");
            to = from.c_str();
        };
    }
    Takes addresses(std::vector<std::string>& to) {
        return [this, &to](const Setting& from) {
            if (!from.isArray() && !from.isList()) return fault(from, "is to be a list of addresses");
            for (int i = 0; i < from.getLength(); ++i) {
                to.emplace_back();
                address(to.back())(from[i]);
            }
        };
    }
    template <class Number>
    Takes number(Number& to, double least, double most, const char* unit = "") {
        return [this, &to, least, most, unit](const Setting& from) {
            if (!from.isNumber()) return fault(from, "is to be a number");
            const double value = from.getType() == Setting::TypeFloat ? static_cast<double>(from)
                                 : from.getType() == Setting::TypeInt64
                                     ? static_cast<double>(static_cast<long long>(from))
                                     : static_cast<double>(static_cast<int>(from));
            if (!(value >= least && value <= most))
                return fault(
                    from, fmt::format("{}{} is not from {}{} to {}{}", value, unit, least, unit, most, unit));
            if (std::is_integral_v<Number> && value != std::floor(value))
                return fault(from, "is to be a whole number");
            to = static_cast<Number>(value);
        };
    }

  private:
    std::vector<Fault>& faults_;
};

}  // namespace tideline::fleet
