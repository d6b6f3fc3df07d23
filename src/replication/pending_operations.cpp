#include "replication/pending_operations.hpp"

namespace tideline::replication {

Operation& PendingOperations::add(Operation operation) {
    ++last_number_;
    return operations_.emplace(last_number_, std::move(operation)).first->second;
}

Operation* PendingOperations::find(OperationNumber number) {
    const auto it = operations_.find(number);
    return it == operations_.end() ? nullptr : &it->second;
}

void PendingOperations::erase(OperationNumber number) {
    operations_.erase(number);
}

bool PendingOperations::is_ready(const Operation& operation, const LocalWrites& local_writes) {
    return operation.awaited.empty() && local_writes.is_stored(operation.local_write);
}

std::vector<OperationNumber> PendingOperations::ready_operations(
    const LocalWrites& local_writes, std::optional<ShardId> shard_id) const {
    std::vector<OperationNumber> numbers;
    for (const auto& [number, operation] : operations_) {
        const bool of_shard = !shard_id || operation.shard_id == *shard_id;
        if (of_shard && is_ready(operation, local_writes)) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

std::vector<OperationNumber> PendingOperations::overdue_operations(Seconds now,
                                                                   Seconds interval) const {
    std::vector<OperationNumber> numbers;
    for (const auto& [number, operation] : operations_) {
        if (!operation.awaited.empty() && now >= operation.sent_at + interval) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

std::set<std::pair<ShardId, Name>> PendingOperations::lagging_members(Seconds now,
                                                                      Seconds limit) const {
    std::set<std::pair<ShardId, Name>> members;
    for (const auto& [number, operation] : operations_) {
        for (const auto& [name, since] : operation.awaited) {
            if (now > since + limit) {
                members.emplace(operation.shard_id, name);
            }
        }
    }
    return members;
}

}  // namespace tideline::replication
