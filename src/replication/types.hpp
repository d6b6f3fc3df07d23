// Types shared by the replication code: the table that assigns shards to members, and the records
// that the members hold. A record states what is known about the attempts at one request, and the
// answer of the endpoint once there is one.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::replication {

using cluster::Disk;
using cluster::Incarnation;
using cluster::Name;
using cluster::Place;

// Key of a record: a digest that identifies one request or one stored value.
using Key = Id<struct KeyTag, std::array<std::uint64_t, 2>>;
// A group of keys that share one replica set.
using ShardId = Id<struct ShardTag, std::uint32_t>;
// Version of the replica table. It only increases; 0 means that no table is known.
using TableVersion = Id<struct TableVersionTag, std::uint64_t>;
// Numbers the requests of one claimant to primaries.
using RequestNumber = Id<struct RequestNumberTag, std::uint64_t>;
// Numbers the messages of one primary to other members.
using MessageNumber = Id<struct MessageNumberTag, std::uint64_t>;
// Numbers the writes to a member's disk, which are executed in this order.
using WriteNumber = Id<struct WriteNumberTag, std::uint64_t>;

// Version of a record, which orders the writes to a key. `step` keeps increasing when the primary
// restarts.
struct Version {
    TableVersion table_version;
    std::uint64_t step = 0;
    auto operator<=>(const Version&) const = default;
};

// Identifies the request that an attempt belongs to: one request of one incarnation of a sidecar.
struct EffectOwner {
    Name name;
    Incarnation incarnation;
    std::uint64_t request = 0;
    auto operator<=>(const EffectOwner&) const = default;
};

// in_flight: the attempt may be running. not_run: the attempt is known never to have run.
enum class AttemptOutcome { in_flight, may_have_run, not_run, answered };

// The part of an attempt's state that other members need.
struct AttemptRecord {
    EffectOwner owner;
    int number = 0;  // position among the attempts at its request
    AttemptOutcome outcome = AttemptOutcome::in_flight;
    Location location;  // of the endpoint that the attempt is sent to
    Cell cell;
    // On this member's clock; never later than the time at which the attempt was sent.
    Seconds sent_at = 0;
    bool is_attempt_of(const EffectOwner& other_owner, int other_number) const {
        return owner == other_owner && number == other_number;
    }
};

// The replicated state of one key. A record without attempts and without an answer means that no
// attempt is known to have been sent.
struct Record {
    Key key;
    Version version;
    std::vector<AttemptRecord> attempts;
    // Digest of the request's content; two requests with the same key may differ in it.
    std::uint64_t content = 0;
    // True if the record stores bytes that belong to no request.
    bool bytes_only = false;
    bool answered = false;
    std::string answer;  // the endpoint's answer, or the stored bytes
    // On this member's clock; never earlier than the end of the record's time to live.
    Seconds expires_at = 0;
    // Returns whether an attempt has run, may have run, or may be running.
    bool may_have_run() const {
        for (const AttemptRecord& attempt : attempts) {
            if (attempt.outcome == AttemptOutcome::may_have_run ||
                attempt.outcome == AttemptOutcome::in_flight) {
                return true;
            }
        }
        return answered;
    }
};

// The members that hold one shard. The first replica is the primary, which handles the requests.
struct ReplicaSet {
    // Version of the table that introduced this replica set. Messages sent under an older table are
    // refused.
    TableVersion since_table;
    // Each replica has every acknowledged write on its disk.
    std::vector<Name> replicas;
    // Members that become replicas once they have caught up with the primary.
    std::vector<Name> catching_up;
    // Version of the table in which all replicas were lost, as long as the lost records could still
    // be alive: until then, a request without a record may nevertheless have been sent. 0: no data
    // loss.
    TableVersion data_lost_in;
    bool operator==(const ReplicaSet&) const = default;
    bool has_replica(const Name& name) const;
    bool is_catching_up(const Name& name) const;
    const Name& primary() const {
        return replicas.front();
    }
};

// The replica sets of all shards, as agreed on by the planners.
struct ReplicaTable {
    TableVersion version;
    std::size_t replication_factor = 2;  // desired number of replicas of each shard
    // A write is acknowledged only while the shard has at least this many replicas.
    std::size_t min_replicas = 2;
    // The disk that holds the replicas of each member. If the member reports another disk, its
    // replicas are lost.
    std::map<Name, Disk> disks;
    // Members that an operator has removed because they will not return.
    std::set<Name> removed_members;
    std::vector<ReplicaSet> shards;
    bool operator==(const ReplicaTable&) const = default;
    ShardId shard_of(const Key& key) const {
        return {static_cast<std::uint32_t>(key.value[1] % std::max<std::size_t>(1, shards.size()))};
    }
    const ReplicaSet& replica_set(const Key& key) const {
        return shards[shard_of(key).value];
    }
};

// Periodic report of a member to the repair coordinator.
struct ReplicaReport {
    Disk disk;
    bool disk_works = true;      // false once a write to the disk has failed
    TableVersion table_version;  // newest table that the member has applied
    // Shards of which the reporting member is the primary, each with a member that has caught up.
    std::vector<std::pair<ShardId, Name>> caught_up;
    // Shards of which the reporting member is the primary, each with a member that does not
    // acknowledge.
    std::vector<std::pair<ShardId, Name>> lagging;
    // Shards of which the reporting member is the primary, and whose lost records have all expired.
    std::vector<ShardId> data_loss_over;
    // Shards in which a stored row was found altered; the member's replicas of them count as lost.
    std::vector<ShardId> corrupt;
    std::size_t records = 0;
    std::size_t bytes = 0;
    std::size_t primary_shards = 0;
    std::size_t open_shards = 0;
    std::size_t records_to_send = 0;
};

// Number of ranges into which the keys of a shard are divided for comparison. Two members compare
// single keys only in the ranges whose digests differ.
constexpr std::size_t kKeyRangeCount = 16;
// One digest per key range.
using Digests = std::array<std::uint64_t, kKeyRangeCount>;
inline std::size_t range_of(const Key& key) {
    return key.value[0] % kKeyRangeCount;
}

// The version of a key that a backup holds.
struct KeyVersion {
    Key key;
    Version version;
    // True if the record is about to expire: another member may have dropped it already.
    bool expires_soon = false;
};

inline bool ReplicaSet::has_replica(const Name& name) const {
    return std::find(replicas.begin(), replicas.end(), name) != replicas.end();
}
inline bool ReplicaSet::is_catching_up(const Name& name) const {
    return std::find(catching_up.begin(), catching_up.end(), name) != catching_up.end();
}

}  // namespace tideline::replication
