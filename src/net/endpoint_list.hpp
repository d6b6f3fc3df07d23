// The endpoint list as discovery has sent it so far, and what a further message changes in it.
// Takes JSON; does no I/O and knows no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/tcp_connection.hpp"

namespace tideline::net {

// What one message of discovery changes.
struct EndpointListUpdate {
    bool is_list = false;  // false: the message is no list, and changes nothing
    bool accepted = true;  // false: an entry was malformed, and the state before it has to be
                           // requested again
    EndpointListKind kind = EndpointListKind::changes;
    std::vector<EndpointInfo> endpoints;
    std::vector<Address> addresses;  // one for each line
};

class EndpointList {
  public:
    // `settings` holds the names of locations and kinds, and outlives the list.
    explicit EndpointList(const Settings& settings) : settings_(settings) {}

    // The revision that a list gives itself; nothing if it gives none.
    static std::optional<std::int64_t> revision_of(const nlohmann::json& list);
    // `from_configuration`: the copy that the sidecar starts with.
    EndpointListUpdate read(const nlohmann::json& list, bool from_configuration);
    // The revision that a watch asks to go on from; 0 if none has come.
    std::int64_t revision() const {
        return revision_;
    }
    // Everything up to this revision came from another source.
    void advance_revision(std::int64_t revision);

  private:
    struct KnownEndpoint {
        EndpointInfo info;
        Address address;
    };
    // One message, read.
    struct Entries {
        std::map<EndpointId, KnownEndpoint> endpoints;
        std::set<EndpointId> phase_unknown;  // known endpoints whose phase can't be read
        std::string unreadable;              // the malformed entries as they came
    };
    static EndpointListKind kind_of(const nlohmann::json& list, bool from_configuration);
    Entries read_entries(const nlohmann::json& members, std::int64_t revision) const;
    bool read_entry(const nlohmann::json& entry, const KnownEndpoint* previous,
                    KnownEndpoint& current) const;
    static void keep_newer_state(const KnownEndpoint& previous, KnownEndpoint& current);
    static void drain_unknown_phases(Entries& entries);
    void remove_missing(const Entries& entries);
    void store_endpoint(const KnownEndpoint& current);

    const Settings& settings_;
    std::int64_t revision_ = 0;
    std::int64_t newest_revision_ = 0;  // of all sources
    std::map<EndpointId, KnownEndpoint> known_;
    std::deque<EndpointId> removed_ids_;  // oldest first
    std::string previous_unreadable_;     // of the message before
};

}  // namespace tideline::net
