// The endpoint list as received from discovery so far. Computes what a further message changes in
// it. Takes JSON; performs no I/O and reads no clock.
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

// The changes that one message of discovery makes.
struct EndpointListUpdate {
    bool is_list = false;  // false: the message is not a list and changes nothing
    // False if an entry was malformed, so that the list has to be requested again from the previous
    // revision.
    bool accepted = true;
    EndpointListKind kind = EndpointListKind::changes;
    std::vector<EndpointInfo> endpoints;
    std::vector<Address> addresses;  // the address of each element of `endpoints`
};

class EndpointList {
  public:
    // `settings` holds the names of locations and kinds and must outlive the list.
    explicit EndpointList(const Settings& settings) : settings_(settings) {}

    // The revision that a list states; nothing if it states none.
    static std::optional<std::int64_t> revision_of(const nlohmann::json& list);
    // Applies a list. `from_configuration` is set for the copy in the sidecar's configuration.
    EndpointListUpdate read(const nlohmann::json& list, bool from_configuration);
    // The revision from which a watch has to continue; 0 if no list has been received.
    std::int64_t revision() const {
        return revision_;
    }
    // Records that everything up to this revision was received from another source.
    void advance_revision(std::int64_t revision);

  private:
    struct KnownEndpoint {
        EndpointInfo info;
        Address address;
    };
    // The parsed entries of one message.
    struct Entries {
        std::map<EndpointId, KnownEndpoint> endpoints;
        std::set<EndpointId> phase_unknown;  // known endpoints whose phase was unreadable
        std::string unreadable;              // the text of all malformed entries
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
    std::int64_t newest_revision_ = 0;  // newest revision from any source
    std::map<EndpointId, KnownEndpoint> known_;
    std::deque<EndpointId> removed_ids_;  // ids of removed endpoints, oldest first
    std::string previous_unreadable_;     // malformed entries of the previous message
};

}  // namespace tideline::net
