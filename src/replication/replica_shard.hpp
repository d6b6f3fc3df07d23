// State of one shard at one member.
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

// State of another member of the shard, as known to the primary.
struct Peer {
    // The member has acknowledged every record that it lacked; from then on each write is sent to
    // it at once.
    bool caught_up = false;
    // The member is a replica or was reported as caught up: writes are acknowledged only after it
    // has stored them.
    bool required_for_writes = false;
    // Number of the digests message that the member has not answered; 0: none.
    MessageNumber pending_comparison;
    // When the digests were sent.
    Seconds comparison_sent_at = 0;
    // Keys of the records that the member lacks, in the order in which they are sent.
    std::deque<Key> to_send;
    // Repair operations that the member has not acknowledged; at most
    // ReplicaSettings::repair_window.
    std::set<OperationNumber> repairs;
};

// A record from a primary that has not yet stated the delay of its message.
struct ReceivedRecord {
    Name from;
    MessageNumber number;
    Version version;
    // Send time of each attempt of the record, assuming that the message had no delay.
    std::vector<Seconds> sent_at;
};

struct Shard {
    // From the table that was applied last.
    ReplicaSet replica_set;
    Records records;
    // A row was found altered on the disk. The shard serves and acknowledges nothing until its
    // records are replaced.
    bool corrupt = false;
    // By key; each belongs to a record in `records`.
    std::map<Key, ReceivedRecord> received_records;
    // The shard was read from the disk, and no table has been applied to it since.
    bool restored = false;
    // Until this time a missing record may be one that was lost with all replicas.
    Seconds data_lost_until = 0;

    // The following members are used only while this member is the primary.
    //
    // All replicas have caught up under this replica set, so requests are served.
    bool open = false;
    Seconds next_comparison_at = 0;
    // All other members of the replica set, including those that catch up.
    std::map<Name, Peer> peers;
    // The operation in progress on each key.
    std::map<Key, OperationNumber> active_operations;
    // Requests that wait for the operation on their key. No queue is empty.
    std::map<Key, std::deque<ClaimantRequest>> queued_requests;

    bool has_primary(const Name& name) const {
        return !corrupt && !replica_set.replicas.empty() && replica_set.primary() == name;
    }
    // Opens the shard if every member that writes wait for has caught up.
    void open_if_caught_up();
};

}  // namespace tideline::replication
