// Replica: drops records that have expired or that this member no longer holds.

#include "replication/replica.hpp"
#include "replication/replica_limits.hpp"

namespace tideline::replication {

void Replica::drop_records_if(ShardId shard_id, Shard& shard,
                              const std::function<bool(const Record&)>& is_dropped) {
    std::vector<Key> dropped;
    std::erase_if(shard.records, [&](const auto& each) {
        if (!is_dropped(each.second)) {
            return false;
        }
        dropped.push_back(each.first);
        shard.received_records.erase(each.first);
        return true;
    });
    if (dropped.empty()) {
        return;
    }
    local_writes_.store_removal(*host_, shard_id, dropped);
}

// Keeps a record while an operation on its key is in progress, because the operation may resend it.
void Replica::drop_expired_records(Seconds now) {
    if (now < expiry_checked_at_ + kExpiryInterval) {
        return;
    }
    expiry_checked_at_ = now;
    for (auto& [shard_id, shard] : shards_) {
        const Shard& checked = shard;
        drop_records_if(shard_id, shard, [&](const Record& record) {
            return now >= record.expires_at && !checked.active_operations.contains(record.key);
        });
    }
}

}  // namespace tideline::replication
