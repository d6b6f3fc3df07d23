// Fixtures shared by the replication tests: three members, a table with one shard, attempts, and a
// replica whose host records its calls.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "replication/replica.hpp"

namespace tideline::test {

using namespace replication;

inline const Name kA{"a"};
inline const Name kB{"b"};
inline const Name kC{"c"};
inline const Key kKey{{7, 0}};

// Returns a table with one shard that has these replicas; the first one is the primary.
inline ReplicaTable table_of(std::uint64_t number, const std::vector<Name>& replicas,
                             std::size_t min_replicas = 2) {
    ReplicaTable table;
    table.version = TableVersion{number};
    table.replication_factor = 2;
    table.min_replicas = min_replicas;
    table.disks = {{kA, Disk{1}}, {kB, Disk{2}}, {kC, Disk{3}}};
    ReplicaSet replica_set;
    replica_set.since_table = TableVersion{number};
    replica_set.replicas = replicas;
    table.shards = {replica_set};
    return table;
}
// Returns an in-flight attempt of this member.
inline AttemptRecord attempt_by(const Name& name, std::uint64_t request, int attempt = 0) {
    return {{name, Incarnation{1}, request}, attempt, AttemptOutcome::in_flight, {}, {}, 0};
}

// Upper bound of a message's delay, as sent by a primary to the replica that received the message.
struct SentDelay {
    Name to;
    MessageNumber number;
    Seconds delay = 0;
};

// Records the calls of a replica. A write counts as stored once the test calls on_stored().
struct RecordingReplicaHost : ReplicaHost {
    std::vector<std::pair<Name, MessageNumber>> sent_records;
    std::vector<std::pair<Name, MessageNumber>> sent_digests;
    std::vector<std::pair<Name, MessageNumber>> acknowledgements;
    std::vector<std::pair<RequestNumber, Reply>> replies;
    std::vector<RequestNumber> later_replies;
    std::vector<SentDelay> sent_delays;
    std::vector<std::string> refusals;
    std::map<RequestNumber, Record> records_returned;
    WriteNumber last_write;
    TableVersion requested_table;
    void store(WriteNumber number, ShardId, const Record&) override {
        last_write = number;
    }
    void store_removal(WriteNumber number, ShardId, const std::vector<Key>&) override {
        last_write = number;
    }
    void store_shard_removal(WriteNumber number, ShardId) override {
        last_write = number;
    }
    void store_table_version(WriteNumber number, TableVersion) override {
        last_write = number;
    }
    void send_record(const Name& to, ShardId, TableVersion, MessageNumber number,
                     const Record*) override {
        sent_records.emplace_back(to, number);
    }
    void acknowledge(const Name& to, MessageNumber number) override {
        acknowledgements.emplace_back(to, number);
    }
    void send_delay(const Name& to, ShardId, const Key&, MessageNumber number,
                    Seconds delay) override {
        sent_delays.push_back({to, number, delay});
    }
    void refuse(const Name& to, MessageNumber, TableVersion) override {
        refusals.push_back(to.value);
    }
    void send_digests(const Name& to, ShardId, TableVersion, MessageNumber number,
                      const Digests&) override {
        sent_digests.emplace_back(to, number);
    }
    void send_differences(const Name& to, MessageNumber number, const std::vector<std::size_t>&,
                          const std::vector<KeyVersion>&) override {
        acknowledgements.emplace_back(to, number);
    }
    void reply(const Name&, RequestNumber number, Reply result, TableVersion,
               const Record* record) override {
        replies.emplace_back(number, result);
        if (record) {
            records_returned[number] = *record;
        }
    }
    void reply_later(const Name&, RequestNumber number, TableVersion) override {
        later_replies.push_back(number);
    }
    void request_table(TableVersion least) override {
        requested_table = std::max(requested_table, least);
    }
    void log_alarm(const std::string&) override {}
};
// Member a as the primary of the shard, with member b as the other replica.
struct PrimaryFixture {
    explicit PrimaryFixture(std::size_t min_replicas = 2) : replica(host, {}, kA, Disk{1}, {}, 10) {
        replica.apply_table(10, table_of(1, {kA, kB}, min_replicas));
        replica.on_stored(10, host.last_write);
        if (!host.sent_digests.empty()) {
            replica.receive_differences(10, kB, host.sent_digests.back().second, {}, {});
        }
    }
    // Completes all writes in flight, on this member's disk and at the other replicas.
    void complete_writes() {
        replica.on_stored(11, host.last_write);
        for (const auto& [to, number] : std::vector(host.sent_records)) {
            replica.on_acknowledged(11, to, number);
        }
    }
    Reply last_reply() const {
        return host.replies.empty() ? Reply::try_again : host.replies.back().second;
    }
    RecordingReplicaHost host;
    Replica replica;
};

}  // namespace tideline::test
