// Operations of a primary that wait for acknowledgements: of other members, and of its own disk.
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

// Rises by one with each operation of a process; 0: none.
using OperationNumber = std::uint64_t;

// The request that an operation answers.
struct ReplyTarget {
    Name name;
    RequestNumber number;
};

// One key of a shard, sent to other members.
struct Operation {
    ShardId shard_id;
    Key key;
    // Sent to one member that catches up; no claimant waits.
    bool is_repair = false;
    // Carries a new version of the record; otherwise it asks for confirmation of the present one.
    bool is_write = false;
    std::optional<ReplyTarget> claimant;
    Reply reply = Reply::granted;
    // Has to be on the disk of this member first.
    WriteNumber local_write;
    // Members that have not acknowledged, each with the time since which it is awaited.
    std::map<Name, Seconds> awaited;
    // When it was sent last.
    Seconds sent_at = 0;
};

// One thread; no I/O, no clock.
class PendingOperations {
  public:
    using Map = std::map<OperationNumber, Operation>;

    // The number of the next operation that is added.
    OperationNumber next_number() const {
        return last_number_ + 1;
    }
    // The reference holds until the operation is erased.
    Operation& add(Operation operation);
    // Null where it has ended.
    Operation* find(OperationNumber number);
    void erase(OperationNumber number);

    // Whether it waits neither for a member nor for the own disk.
    static bool is_ready(const Operation& operation, const LocalWrites& local_writes);
    // Those that are ready, of one shard or of all, in order.
    std::vector<OperationNumber> ready_operations(
        const LocalWrites& local_writes, std::optional<ShardId> shard_id = std::nullopt) const;
    // Those that were sent last at least `interval` ago and wait for members, in order.
    std::vector<OperationNumber> overdue_operations(Seconds now, Seconds interval) const;
    // Members that have not acknowledged an operation for longer than `limit`, with its shard.
    std::set<std::pair<ShardId, Name>> lagging_members(Seconds now, Seconds limit) const;

    // In the order of their numbers.
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
