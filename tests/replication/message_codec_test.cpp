// Tests of the encoding of tables and records on the wire.
#include "replication/message_codec.hpp"

#include <rapidcheck.h>

#include "replication_fixture.hpp"

namespace tideline::test {

TEST_CASE("replica tables and records survive encoding and decoding") {
    REQUIRE(rc::check([] {
        ReplicaTable table;
        table.version = TableVersion{*rc::gen::inRange<std::uint64_t>(1, 1000)};
        const auto members = *rc::gen::inRange(1, 6);
        std::vector<Name> names;
        for (int i = 0; i < members; ++i) {
            names.push_back(Name{"m" + std::to_string(i)});
            table.disks[names.back()] = Disk{*rc::gen::inRange<std::uint64_t>(1, 1000)};
        }
        if (*rc::gen::arbitrary<bool>())
            table.removed_members.insert(Name{"away"});
        table.shards.resize(static_cast<std::size_t>(*rc::gen::inRange(0, 5)));
        for (ReplicaSet& replica_set : table.shards) {
            replica_set.since_table = TableVersion{*rc::gen::inRange<std::uint64_t>(1, 1000)};
            replica_set.data_lost_in = TableVersion{*rc::gen::inRange<std::uint64_t>(0, 3)};
            replica_set.replicas = {names[0]};
            if (*rc::gen::arbitrary<bool>())
                replica_set.catching_up = {names.back()};
        }
        ReplicaTable decoded_table;
        RC_ASSERT(table_from(bytes_of(table), decoded_table));
        RC_ASSERT(decoded_table == table);
        Record record;
        record.key = {{*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()}};
        record.version = {TableVersion{3}, 9};
        record.content = 5;
        record.answered = *rc::gen::arbitrary<bool>();
        record.answer = *rc::gen::arbitrary<std::string>();
        record.expires_at = 130;
        record.attempts.push_back(attempt_by(kA, 4, 2));
        record.attempts[0].sent_at = 95;
        wire::HeldRecord message;
        put(100, record, message);
        // The receiver's clock differs from the sender's: messages contain ages in place of times.
        const Record decoded = record_from(1000, message);
        RC_ASSERT(decoded.key == record.key && decoded.version == record.version &&
                  decoded.content == record.content);
        RC_ASSERT(decoded.answered == record.answered && decoded.answer == record.answer);
        RC_ASSERT(decoded.expires_at == 1030 && decoded.attempts.at(0).sent_at == 995 &&
                  decoded.attempts[0].owner == record.attempts[0].owner);
    }));
    ReplicaTable table;
    wire::HeldTable malformed;
    malformed.add_slots()->add_copies(4);
    CHECK_FALSE(table_from(malformed.SerializeAsString(), table));
}

}  // namespace tideline::test
