#include "net/list.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <stdexcept>

namespace tideline::net {
namespace {

using nlohmann::json;

const std::map<std::string, PodState> kStates = {
    {"Ready", PodState::ready}, {"Terminating", PodState::draining}, {"Gone", PodState::gone}};

// The position of a name among those told at start; 0 where it is not one of them.
int position(const Terms& terms, const std::string& what, const json& name) {
    for (int i = 0; name.is_string(); ++i) {
        const auto it = terms.find(what + "." + std::to_string(i));
        if (it == terms.end()) break;
        if (it->second == Term{name.get<std::string>()}) return i;
    }
    return 0;
}

}  // namespace

List::List(Loop& loop, Owner& owner, const Terms& terms, Address address, const json& known)
    : loop_(loop),
      owner_(owner),
      terms_(terms),
      address_(address),
      watches_{Call(loop, address), Call(loop, address)} {
    read_revision(known);
}

void List::read_revision(const json& list) {
    if (!list.is_object()) return;
    const auto revision = list.find("revision");
    if (revision != list.end() && revision->is_number_integer()) revision_ = revision->get<std::int64_t>();
}

bool List::read(const json& list, bool first_copy) {
    if (!list.is_object() || !list.contains("members") || !list["members"].is_array()) return false;
    // Danger: a list that lagged while another handed over what it lacked tells its old changes later.
    if (const auto at = list.find("revision"); at != list.end() && at->is_number_integer())
        if (!owner_.takes_revision(at->get<std::int64_t>())) return true;
    bool odd = false;
    std::vector<PodLine> lines;
    std::vector<Address> addresses;
    for (const json& entry : list["members"]) {
        try {
            PodLine line;
            line.pod = PodId{entry.at("id").get<std::string>()};
            const auto state = kStates.find(entry.at("phase").get<std::string>());
            const auto address = address_of(entry.value("host_port", ""));
            if (state == kStates.end() || (!address && state->second != PodState::gone))
                throw std::out_of_range("");
            line.state = state->second;
            line.location = Location{position(terms_, "locations", entry.value("locality", json()))};
            line.kind = position(terms_, "kinds", entry.value("flavor", json()));
            line.cell = Cell{entry.value("cell", 0)};
            line.weight = entry.value("size", 1.0);
            line.build = Build{entry.value("revision_no", 0)};
            line.started = entry.value("up_since_ms", 0.0) * 1e-3;
            if (!(line.weight > 0) || !(line.started >= 0) || line.build.value < 0)
                throw std::out_of_range("");
            lines.push_back(std::move(line));
            addresses.push_back(address.value_or(Address{}));
        } catch (const std::exception&) {
            odd = true;  // an entry that makes no sense
        }
    }
    const auto complete = list.find("complete");
    const bool whole =
        first_copy || (complete != list.end() && complete->is_boolean() && complete->get<bool>());
    // Danger: a change that could not be read counts as told. It is asked for again, from the state before
    // it.
    odd = odd && !whole;
    if (!odd) read_revision(list);
    owner_.listed(first_copy ? ListKind::warm_copy
                  : whole    ? ListKind::whole
                             : ListKind::changes,
                  lines, addresses);
    return !odd;
}

void List::take(int which, const std::string& text) {
    if (which != standing_) {  // the one that follows speaks: what the old one told was all taken
        watches_[standing_].drop();
        standing_ = which;
    }
    if (text.empty()) return;  // a sign of life
    const json list = json::parse(text, nullptr, false);
    if (!list.is_discarded() && read(list, false)) return;
    watches_[which].drop();
    lost(which, "a line that can't be read");
}

// Danger: what was lost before the watch stood counts as told; so the watch names the last state known.
void List::watch(int which) {
    loop_.due.cancel(again_);
    watches_[which].begin(fmt::format("/v1/servers?follow=1&since={}", revision_), kListSilence, kListSilence,
                          {[this, which](const std::string& line) { take(which, line); },
                           [this, which] {
                               watches_[which].drop();
                               lost(which, "ended");
                           },
                           [this, which](const std::string& why) { lost(which, why); }});
}
void List::follow() { watch(standing_); }

// Danger: a watch that is given up before the next one speaks leaves a gap, in which changes count as told.
// So after a move the old one stays; the next one is opened beside it, again and again if it is lost.
void List::move(Address address) {
    if (address == address_) return;
    address_ = address, pause_ = kReopenFirst;
    for (Call& call : watches_) call.move(address);
    if (watches_[standing_].open()) watch(1 - standing_);
}
void List::lost(int which, const std::string& why) {
    if (which != standing_) {
        again_ = loop_.due.at(clock_now() + pause_, [this, which] { watch(which); });
        pause_ = std::min(kReopenMost, 2 * pause_);
    } else if (watches_[1 - which].open()) {
        standing_ = 1 - which;
    } else {
        loop_.due.cancel(again_);
        owner_.list_lost("watch: " + why);
    }
}

}  // namespace tideline::net
