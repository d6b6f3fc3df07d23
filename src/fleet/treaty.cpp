#include "fleet/treaty.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <libconfig.h++>
#include <map>
#include <stdexcept>

#include "net/link.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::fleet {
namespace {

using libconfig::Setting;

constexpr std::size_t kNameMost = 100;  // bytes: names go into every word

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

}  // namespace

std::vector<Fault> read_treaty(const std::string& text, Treaty& treaty) {
    std::vector<Fault> faults;
    libconfig::Config config;
    try {
        config.readString(text);
    } catch (const libconfig::ParseException& error) {
        return {{error.getLine(), error.getError()}};
    }
    treaty.digest = digest_of(text);

    Reader read(faults);
    auto& roll = treaty.roll;
    auto& currency = treaty.currency;
    const auto membership = [&](const Setting& from) {
        read.group(from, {{"period", read.number(roll.period, 0.05, 60, " s")},
                          {"answer_wait", read.number(roll.answer_wait, 0.01, 30, " s")},
                          {"regain_every", read.number(roll.regain_every, 0.1, 600, " s")},
                          {"remember", read.number(roll.remember, 10, 30 * 86400.0, " s")}});
        if (roll.answer_wait > roll.period / 2)
            read.fault(from, "answer_wait is more than half of the period");
    };
    const auto audit = [&](const Setting& from) {
        read.group(from, {{"witnesses", read.number(currency.witnesses, 2, 100)},
                          {"grace", read.number(currency.grace, 0.2, 3600, " s")},
                          {"out_after", read.number(currency.out_after, 0.2, 3600, " s")},
                          {"blind_after", read.number(currency.blind_after, 0.5, 3600, " s")},
                          {"most_out", read.number(currency.most_out, 0, 0.9)},
                          {"epochs", read.number(treaty.epochs, 2, 100000)}});
    };
    const auto limits = [&](const Setting& from) {
        read.group(from, {{"links", read.number(treaty.links, 4, 10000)},
                          {"frame", read.number(treaty.frame, 16384, 64.0 * 1024 * 1024, " bytes")}});
    };
    const auto fleet = [&](const Setting& from) {
        read.group(from, {{"member", read.text(treaty.name.value)},
                          {"place", read.text(treaty.place.value)},
                          {"listen", read.address(treaty.listen)},
                          {"address", read.address(treaty.address)},
                          {"seeds", read.addresses(treaty.seeds)},
                          {"folder", read.text(treaty.folder)},
                          {"membership", membership},
                          {"audit", audit},
                          {"limits", limits}});
        for (const char* needed : {"member", "listen"})
            if (from.isGroup() && !from.exists(needed))
                read.fault(from, fmt::format("{} is missing", needed));
        for (const std::string* each : {&treaty.name.value, &treaty.place.value})
            if (each->size() > kNameMost) read.fault(from, "a name of more than 100 bytes");
    };
    if (!config.getRoot().exists("fleet")) faults.push_back({0, "fleet is missing"});
    read.group(config.getRoot(), {{"fleet", fleet}});
    if (treaty.address.empty()) treaty.address = treaty.listen;
    std::stable_sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.line < b.line; });
    return faults;
}

std::string digest_of(const std::string& text) {
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

std::string text_of(const std::string& path, const Fault& fault) {
    return fault.line > 0 ? fmt::format("{}:{}: {}", path, fault.line, fault.what)
                          : fmt::format("{}: {}", path, fault.what);
}

Treaty treaty_of(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("can't read " + path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    Treaty treaty;
    std::string all;
    for (const Fault& fault : read_treaty(text, treaty))
        all += fmt::format("{}{}", all.empty() ? "" : "\n", text_of(path, fault));
    if (!all.empty()) throw std::runtime_error(all);
    return treaty;
}

}  // namespace tideline::fleet
