// Conversion between the types of the replication state machines and the messages of
// replication.proto.
#pragma once

#include <string>

#include "replication.pb.h"
#include "replication/effect_log_client.hpp"
#include "replication/replica.hpp"

namespace tideline::replication {

// Messages contain ages in seconds in place of times: `now` is when the message is written or
// received.
void put(Seconds now, const Record& record, wire::HeldRecord& to);
Record record_from(Seconds now, const wire::HeldRecord& from);
std::string bytes_of(const ReplicaTable& table);
// Returns false if the bytes are not a table, or if a replica set refers to a member that the table
// does not list.
bool table_from(const std::string& bytes, ReplicaTable& table);
// `silent_primaries` are those that did not answer the reporting member.
void put(const ReplicaReport& report, const std::set<Name>& silent_primaries, wire::HeldReport& to);
ReplicaReport report_from(const wire::HeldReport& from, std::set<Name>& silent_primaries);

// Sends the messages of a replica and of a client of the effect log to other members. Effects on
// this member itself are implemented by the derived class.
class MessageSender : public ReplicaHost, public EffectLogClientHost {
  public:
    virtual void post(const Name& to, const wire::Holding& message) = 0;
    virtual Seconds time() const = 0;
    // ReplicaHost
    void send_record(const Name& to, ShardId shard_id, TableVersion since, MessageNumber number,
                     const Record* record) override;
    void acknowledge(const Name& to, MessageNumber number) override;
    void send_delay(const Name& to, ShardId shard_id, const Key& key, MessageNumber number,
                    Seconds delay) override;
    void refuse(const Name& to, MessageNumber number, TableVersion version) override;
    void send_digests(const Name& to, ShardId shard_id, TableVersion since, MessageNumber number,
                      const Digests& digests) override;
    void send_differences(const Name& to, MessageNumber number,
                          const std::vector<std::size_t>& ranges,
                          const std::vector<KeyVersion>& key_versions) override;
    void reply(const Name& to, RequestNumber number, Reply reply, TableVersion version,
               const Record* record) override;
    void reply_later(const Name& to, RequestNumber number, TableVersion version) override;
    // EffectLogClientHost
    void send_claim(const Name& primary, RequestNumber number, const Key& key,
                    std::uint64_t content, const AttemptRecord& attempt,
                    std::optional<Version> known_version) override;
    void send_settle(const Name& primary, RequestNumber number, const Key& key,
                     const AttemptRecord& attempt, const std::string& answer) override;
    void send_bytes(const Name& primary, RequestNumber number, const Key& key,
                    const std::string& bytes) override;
    void send_read(const Name& primary, RequestNumber number, const Key& key) override;
};

// Passes a message of another member to the replica or to the client of the effect log. Reports and
// messages of operators are handled by the caller.
void dispatch_message(Seconds now, const Name& from, const wire::Holding& message, Replica& replica,
                      EffectLogClient& effect_log);

}  // namespace tideline::replication
