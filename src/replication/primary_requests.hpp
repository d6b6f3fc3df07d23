// Requests of the effect log's client to primaries: determines the primary to send to, assigns
// request numbers, and tracks which primaries do not answer.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "replication/types.hpp"

namespace tideline::replication {

// Single-threaded; neither does I/O nor reads a clock.
class PrimaryRequests {
  public:
    // `last_number` has to differ for each incarnation, so that a reply to an earlier incarnation
    // matches no request of this one. `claim_timeout` is in seconds.
    PrimaryRequests(std::uint64_t last_number, Seconds claim_timeout)
        : claim_timeout_(claim_timeout), last_number_(last_number) {}

    // Returns false if the table is not newer than the known one.
    bool apply_table(const ReplicaTable& table);
    TableVersion table_version() const {
        return table_.version;
    }
    // Returns null if no table is known or if the shard has no replicas. Valid until the next
    // table.
    const Name* primary_of(const Key& key) const;

    // Records that a request is sent to the primary now. Returns the number of the request.
    RequestNumber begin_request(Seconds now, const Name& primary);
    // Records that the primary of the key has answered.
    void on_reply(const Key& key);
    // Returns the primaries that have not answered for twice the claim timeout although requests
    // were sent to them recently.
    std::set<Name> silent_primaries(Seconds now) const;

  private:
    // Requests to one primary since its last answer.
    struct Unanswered {
        Seconds since = 0;
        Seconds last_request_at = 0;
    };

    Seconds claim_timeout_;
    ReplicaTable table_;
    std::map<Name, Unanswered> unanswered_;
    std::uint64_t last_number_;
};

}  // namespace tideline::replication
