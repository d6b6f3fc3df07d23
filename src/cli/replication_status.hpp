// The state of replication over all shards, computed from the answer of one member. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "audit/audit_log.hpp"
#include "replication.pb.h"
#include "replication/types.hpp"

namespace tideline::cli {

// Counts shards by their available replicas. A replica is available if its member has just
// reported, the member's disk works and is the one in the replica table, and the data of the shard
// is intact.
struct ShardCounts {
    std::size_t complete = 0;          // all replicas are available
    std::size_t under_replicated = 0;  // some replicas are available, but too few
    std::size_t unavailable = 0;       // no replica is available
    std::size_t data_lost = 0;    // all replicas were lost: requests without a record may have run
    std::size_t catching_up = 0;  // a further replica is catching up
};

struct ReplicationStatus {
    std::string asked_member;
    std::string repair_coordinator;  // empty if none is known
    replication::ReplicaTable table;
    // The report of each member, owned by the answer; null if the member did not report.
    std::map<replication::Name, const wire::HeldReport*> reports;
    ShardCounts shards;
    std::uint64_t records_to_send = 0;
    double bytes_to_send = 0;  // estimated from the mean size of the records
    double repair_time = 0;    // s: estimated for the member that takes longest at its repair rate
};

// Computes the status from `answer`, which must outlive it. Throws std::runtime_error if its
// replica table is malformed.
ReplicationStatus replication_status(const wire::Holdings& answer);

// Returns the exit status: 0 if all shards are complete, 1 if replicas are missing or data was
// lost, 2 if shards are unavailable or there are none yet.
int exit_status(const ReplicationStatus& status);

// Returns the epochs of a member's incarnations as other members store them: one epoch in each
// record, ordered by incarnation and number.
std::vector<audit::Record> replicated_epochs(const wire::Holdings& answer);

}  // namespace tideline::cli
