// Requests of the effect log's client to primaries: whom to ask, their numbers, and which primaries
// do not answer.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "replication/types.hpp"

namespace tideline::replication {

// One thread; no I/O, no clock.
class PrimaryRequests {
  public:
    // `last_number` differs with each incarnation: a reply to a former one may fit no request of
    // this one. `claim_timeout` is in seconds.
    PrimaryRequests(std::uint64_t last_number, Seconds claim_timeout)
        : claim_timeout_(claim_timeout), last_number_(last_number) {}

    // Returns false where the table is not newer than the known one.
    bool apply_table(const ReplicaTable& table);
    TableVersion table_version() const {
        return table_.version;
    }
    // Null where no table is known, or the shard has no replicas. Valid until the next table.
    const Name* primary_of(const Key& key) const;

    // A request to the primary goes out now. Returns its number.
    RequestNumber begin_request(Seconds now, const Name& primary);
    // The primary of the key has answered.
    void on_reply(const Key& key);
    // Primaries that have not answered for twice the claim timeout, although asked of late.
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
