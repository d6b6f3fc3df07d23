#include "net/endpoint_list.hpp"

#include <algorithm>
#include <climits>
#include <cmath>

#include "net/limits.hpp"

namespace tideline::net {
namespace {

using nlohmann::json;

const std::map<std::string, EndpointState> kStatesByPhase = {
    {"Ready", EndpointState::ready},
    {"Terminating", EndpointState::draining},
    {"Gone", EndpointState::removed}};

// Returns the index of a name in a list of the settings; 0 if the list does not contain it.
int index_in_settings(const Settings& settings, const std::string& list, const json& name) {
    for (int i = 0; name.is_string(); ++i) {
        const auto it = settings.find(list + "." + std::to_string(i));
        if (it == settings.end()) {
            break;
        }
        if (it->second == Setting{name.get<std::string>()}) {
            return i;
        }
    }
    return 0;
}
const json* field(const json& entry, const char* name) {
    const auto it = entry.find(name);
    return it == entry.end() ? nullptr : &*it;
}
// Reads an optional integer field. Returns false if the field is not an integer or out of range.
bool read_integer(const json& entry, const char* name, int min_value, int& value) {
    const json* value_field = field(entry, name);
    if (!value_field) {
        return true;
    }
    if (!value_field->is_number()) {
        return false;
    }
    const double number = value_field->get<double>();
    if (!(number >= min_value && number <= INT_MAX) || number != std::floor(number)) {
        return false;
    }
    value = static_cast<int>(number);
    return true;
}
bool has_known_phase(const json& entry) {
    const json* phase = field(entry, "phase");
    return phase != nullptr && phase->is_string() &&
           kStatesByPhase.contains(phase->get<std::string>());
}
bool read_number(const json& entry, const char* name, double& value) {
    const json* value_field = field(entry, name);
    if (value_field && !value_field->is_number()) {
        return false;
    }
    if (value_field) {
        value = value_field->get<double>();
    }
    return true;
}

}  // namespace

// Parses an entry. Returns false if it is malformed; `current` then holds the previous data of the
// endpoint, with the phase of the entry if that is readable and ends the endpoint. Otherwise an
// endpoint with a malformed entry would count as gone, or would get requests although it is
// draining.
bool EndpointList::read_entry(const json& entry, const KnownEndpoint* previous,
                              KnownEndpoint& current) const {
    const json* phase = field(entry, "phase");
    const auto state = phase && phase->is_string() ? kStatesByPhase.find(phase->get<std::string>())
                                                   : kStatesByPhase.end();
    const json* host = field(entry, "host_port");
    const auto address =
        host && host->is_string() ? address_of(host->get<std::string>()) : std::optional<Address>{};
    EndpointInfo info;
    info.id = current.info.id;
    if (state != kStatesByPhase.end()) {
        info.state = state->second;
    }
    info.location =
        Location{index_in_settings(settings_, "locations", entry.value("locality", json()))};
    info.kind = index_in_settings(settings_, "kinds", entry.value("flavor", json()));
    double up_since_ms = 0;
    const bool read = state != kStatesByPhase.end() &&
                      (address || info.state == EndpointState::removed) &&
                      read_integer(entry, "cell", INT_MIN, info.cell.value) &&
                      read_integer(entry, "revision_no", 0, info.build.value) &&
                      read_number(entry, "size", info.weight) && info.weight > 0 &&
                      read_number(entry, "up_since_ms", up_since_ms) && up_since_ms >= 0;
    if (read) {
        info.started = up_since_ms * 1e-3;
        current = {info, address.value_or(Address{})};
        return true;
    }
    if (previous) {
        current = *previous;
    }
    if (previous != nullptr && state != kStatesByPhase.end() &&
        state->second != EndpointState::ready) {
        current.info.state = state->second;
    }
    return false;
}

// Ids of endpoints are not reused, so only the last of the removed ones are remembered.
void EndpointList::store_endpoint(const KnownEndpoint& current) {
    const EndpointId& endpoint = current.info.id;
    const auto previous = known_.find(endpoint);
    const bool was_gone =
        previous != known_.end() && previous->second.info.state == EndpointState::removed;
    known_.insert_or_assign(endpoint, current);
    if (current.info.state != EndpointState::removed) {
        if (was_gone) {
            std::erase(removed_ids_, endpoint);
        }
        return;
    }
    if (!was_gone) {
        removed_ids_.push_back(endpoint);
    }
    while (removed_ids_.size() > kMaxRememberedGoneEndpoints) {
        known_.erase(removed_ids_.front());
        removed_ids_.pop_front();
    }
}

void EndpointList::advance_revision(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
    newest_revision_ = std::max(newest_revision_, revision);
}

std::optional<std::int64_t> EndpointList::revision_of(const json& list) {
    const json* value_field = list.is_object() ? field(list, "revision") : nullptr;
    if (!value_field || !value_field->is_number_integer()) {
        return std::nullopt;
    }
    return value_field->get<std::int64_t>();
}

EndpointListUpdate EndpointList::read(const json& list, bool from_configuration) {
    EndpointListUpdate update;
    const json* members = list.is_object() ? field(list, "members") : nullptr;
    if (!members || !members->is_array()) {
        return update;
    }
    const auto stated_revision = revision_of(list);
    const std::int64_t revision = stated_revision.value_or(newest_revision_);
    update.is_list = true;
    update.kind = kind_of(list, from_configuration);

    Entries entries = read_entries(*members, revision);
    // A malformed change counts as notified all the same, so it is requested again from the
    // previous revision. If the same malformed entries arrive once more, a further request would
    // not help: the rest of the list is then accepted, because otherwise it would be requested
    // forever.
    const bool repeated = !entries.unreadable.empty() && entries.unreadable == previous_unreadable_;
    if (repeated) {
        drain_unknown_phases(entries);
    }
    if (update.kind != EndpointListKind::changes) {
        remove_missing(entries);
    }
    for (const auto& [endpoint, current] : entries.endpoints) {
        store_endpoint(current);
        update.endpoints.push_back(current.info);
        update.addresses.push_back(current.address);
    }
    update.accepted = entries.unreadable.empty() || repeated || from_configuration;
    previous_unreadable_ = entries.unreadable;
    if (update.accepted && stated_revision) {
        revision_ = revision;
        newest_revision_ = std::max(newest_revision_, revision);
    }
    return update;
}

EndpointListKind EndpointList::kind_of(const json& list, bool from_configuration) {
    if (from_configuration) {
        return EndpointListKind::cached;
    }
    const json* complete = field(list, "complete");
    const bool is_complete = complete != nullptr && complete->is_boolean() && complete->get<bool>();
    return is_complete ? EndpointListKind::complete : EndpointListKind::changes;
}

EndpointList::Entries EndpointList::read_entries(const json& members, std::int64_t revision) const {
    Entries entries;
    for (const json& entry : members) {
        const json* id = entry.is_object() ? field(entry, "id") : nullptr;
        if (!id || !id->is_string() || id->get_ref<const std::string&>().empty()) {
            entries.unreadable += entry.dump(-1, ' ', false, json::error_handler_t::replace);
            continue;
        }
        KnownEndpoint current;
        current.info.id = EndpointId{id->get<std::string>()};
        const auto found = known_.find(current.info.id);
        const KnownEndpoint* previous = found == known_.end() ? nullptr : &found->second;
        if (!read_entry(entry, previous, current)) {
            entries.unreadable += entry.dump(-1, ' ', false, json::error_handler_t::replace);
            if (!previous) {
                continue;
            }
            if (!has_known_phase(entry)) {
                entries.phase_unknown.insert(current.info.id);
            }
        }
        if (previous && revision < newest_revision_) {
            keep_newer_state(*previous, current);
        }
        entries.endpoints.insert_or_assign(current.info.id, current);
    }
    return entries;
}

// A list that lags behind, for example after a move to another address, would turn a draining or
// removed endpoint back into a ready one. An endpoint counts as a new process only if its start
// time or build differs.
void EndpointList::keep_newer_state(const KnownEndpoint& previous, KnownEndpoint& current) {
    const bool same_process =
        current.info.started == previous.info.started && current.info.build == previous.info.build;
    if (same_process && current.info.state < previous.info.state) {
        current.info.state = previous.info.state;
    }
}

// The current phase of these endpoints was sent but is unreadable, and another request would not
// change that. They may be draining, so they are treated as draining.
void EndpointList::drain_unknown_phases(Entries& entries) {
    for (const EndpointId& endpoint : entries.phase_unknown) {
        EndpointState& state = entries.endpoints.at(endpoint).info.state;
        if (state == EndpointState::ready) {
            state = EndpointState::draining;
        }
    }
}

// Marks endpoints that a complete list does not contain as removed.
void EndpointList::remove_missing(const Entries& entries) {
    std::vector<KnownEndpoint> missing;
    for (const auto& [endpoint, known] : known_) {
        if (!entries.endpoints.contains(endpoint)) {
            missing.push_back(known);
        }
    }
    for (KnownEndpoint& endpoint : missing) {
        endpoint.info.state = EndpointState::removed;
        store_endpoint(endpoint);
    }
}

}  // namespace tideline::net
