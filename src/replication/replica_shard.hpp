// One shard, as one member holds it.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "replication/claimant_request.hpp"
#include "replication/pending_operations.hpp"
#include "replication/shard_comparison.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Another member of a shard, as the primary sees it.
struct Peer {
    // It has acknowledged all that was to be sent. It is sent each write at once then.
    bool caught_up = false;
    // A replica, or reported as caught up: a write is not acknowledged without it.
    bool writes_wait = false;
    // Message of a comparison under way; 0: none.
    MessageNumber pending_comparison;
    // When the comparison was sent.
    Seconds comparison_sent_at = 0;
    // Keys that it lacks, in the order in which they are sent.
    std::deque<Key> to_send;
    // Repairs that it has not acknowledged; at most ReplicaSettings::repair_window.
    std::set<OperationNumber> repairs;
};

// A record that came from a primary which has not said yet how long its message took.
struct ReceivedRecord {
    Name from;
    MessageNumber number;
    Version version;
    // Of each attempt of the record: when it was sent, if the message took no time.
    std::vector<Seconds> sent_at;
};

struct Shard {
    // Of the table that was applied last.
    ReplicaSet replica_set;
    Records records;
    // A row was found altered on the disk: nothing is served or acknowledged until it is replaced.
    bool corrupt = false;
    // By key; each is of a record in `records`.
    std::map<Key, ReceivedRecord> received_records;
    // Read from the disk, and not assigned by a table since.
    bool restored = false;
    // A key that is absent may have been lost with all replicas until then.
    Seconds data_lost_until = 0;

    // The rest is used as the primary only.
    // All replicas have caught up under this replica set: requests are served.
    bool open = false;
    Seconds next_comparison_at = 0;
    // All other members of the replica set, also those that catch up.
    std::map<Name, Peer> peers;
    // The operation under way on a key: at most one.
    std::map<Key, OperationNumber> active_operations;
    // Requests that wait for the operation on their key; never empty.
    std::map<Key, std::deque<ClaimantRequest>> queued_requests;

    bool has_primary(const Name& name) const {
        return !corrupt && !replica_set.replicas.empty() && replica_set.primary() == name;
    }
    // Opens the shard once no member for which writes wait has to catch up.
    void open_if_caught_up();
};

}  // namespace tideline::replication
