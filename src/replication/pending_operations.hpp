// Operations of a primary that wait for acknowledgements by other members and by its own disk.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "replication/local_writes.hpp"
#include "replication/replica_host.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Increases by one with each operation of a process; 0: none.
using OperationNumber = std::uint64_t;

// Identifies the request that an operation answers.
struct ReplyTarget {
    Name name;
    RequestNumber number;
};

// The replication of one key of a shard to other members.
struct Operation {
    ShardId shard_id;
    Key key;
    // The operation repairs one member that catches up; no claimant waits for it.
    bool is_repair = false;
    // The operation replicates a new version of the record; otherwise the members confirm the
    // present one.
    bool is_write = false;
    std::optional<ReplyTarget> claimant;
    Reply reply = Reply::granted;
    // Local write that this member's disk has to complete before the operation ends.
    WriteNumber local_write;
    // Members that have not acknowledged the operation, and since when each is awaited.
    std::map<Name, Seconds> awaited;
    // When the operation was last sent.
    Seconds sent_at = 0;
};

// Single-threaded; neither does I/O nor reads a clock.
class PendingOperations {
  public:
    using Map = std::map<OperationNumber, Operation>;

    // Returns the number that the next added operation gets.
    OperationNumber next_number() const {
        return last_number_ + 1;
    }
    // The reference stays valid until the operation is erased.
    Operation& add(Operation operation);
    // Returns null if the operation has ended.
    Operation* find(OperationNumber number);
    void erase(OperationNumber number);

    // Whether the operation waits neither for another member nor for this member's disk.
    static bool is_ready(const Operation& operation, const LocalWrites& local_writes);
    // Returns the operations of one shard, or of all shards, that are ready, in the order of their
    // numbers.
    std::vector<OperationNumber> ready_operations(
        const LocalWrites& local_writes, std::optional<ShardId> shard_id = std::nullopt) const;
    // Returns the operations that wait for members and were last sent at least `interval` ago, in
    // the order of their numbers.
    std::vector<OperationNumber> overdue_operations(Seconds now, Seconds interval) const;
    // Returns the members that have not acknowledged an operation for longer than `limit`, with its
    // shard.
    std::set<std::pair<ShardId, Name>> lagging_members(Seconds now, Seconds limit) const;

    // Returns all operations in the order of their numbers.
    Map& all() {
        return operations_;
    }
    const Map& all() const {
        return operations_;
    }

  private:
    // Operations that have not ended.
    Map operations_;
    OperationNumber last_number_ = 0;
};

}  // namespace tideline::replication
