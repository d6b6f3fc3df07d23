// Tests of frames, messages and the cluster configuration: round trips, arbitrary splits, and
// damage.
#include "cluster/frame.hpp"

#include <rapidcheck.h>

#include "cluster/cluster_config.hpp"
#include "cluster/message_codec.hpp"
#include "cluster_fixture.hpp"

namespace tideline::test {
namespace {

constexpr std::size_t kMaxBodyBytes = 4096;

// Reads `bytes` in pieces of these sizes. Returns the bodies of all complete frames, and false if a
// frame was malformed or incomplete.
std::pair<std::vector<std::string>, bool> read_in_pieces(const std::string& bytes,
                                                         const std::vector<std::size_t>& sizes) {
    std::vector<std::string> bodies;
    std::string held;
    std::size_t at = 0;
    for (std::size_t i = 0; at < bytes.size(); ++i) {
        const std::size_t piece = sizes.empty() ? bytes.size() : 1 + sizes[i % sizes.size()] % 50;
        held += bytes.substr(at, piece);
        at += piece;
        for (;;) {
            std::string_view body;
            std::size_t frame_bytes = 0;
            std::string error;
            const FrameRead read = decode_frame(held, kMaxBodyBytes, body, frame_bytes, error);
            if (read == FrameRead::bad) {
                return {bodies, false};
            }
            if (read == FrameRead::more) {
                break;
            }
            bodies.emplace_back(body);
            held.erase(0, frame_bytes);
        }
    }
    return {bodies, held.empty()};
}
Entry arbitrary_entry() {
    Entry entry;
    entry.name = Name{*rc::gen::nonEmpty<std::string>()};
    entry.incarnation = Incarnation{*rc::gen::arbitrary<std::uint64_t>()};
    entry.refutation_count = RefutationCount{*rc::gen::arbitrary<std::uint32_t>()};
    entry.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
    entry.suspected_by = Name{*rc::gen::arbitrary<std::string>()};
    entry.address = *rc::gen::arbitrary<std::string>();
    entry.version = {ListRevision{*rc::gen::arbitrary<std::uint64_t>()},
                     ReleaseRank{*rc::gen::arbitrary<std::uint64_t>()}};
    entry.ruling_number = *rc::gen::arbitrary<std::uint32_t>();
    entry.excluded = *rc::gen::arbitrary<bool>();
    return entry;
}
bool are_equal(const Entry& a, const Entry& b) {
    return std::tie(a.name, a.incarnation, a.refutation_count, a.state, a.suspected_by, a.address,
                    a.version.list, a.version.release, a.ruling_number, a.excluded) ==
           std::tie(b.name, b.incarnation, b.refutation_count, b.state, b.suspected_by, b.address,
                    b.version.list, b.version.release, b.ruling_number, b.excluded);
}

}  // namespace

TEST_CASE("frames are decoded as they were encoded, however they are split") {
    CHECK(rc::check(
        [](const std::vector<std::string>& bodies, const std::vector<std::size_t>& sizes) {
            std::string bytes;
            for (const std::string& body : bodies) {
                bytes += encode_frame(body);
            }
            const auto [read, good] = read_in_pieces(bytes, sizes);
            RC_ASSERT(good);
            RC_ASSERT(read == bodies);
        }));
}

TEST_CASE("a frame with any one byte damaged is never taken for another body") {
    CHECK(rc::check([](const std::string& body) {
        std::string bytes = encode_frame(body);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
        const auto [read, good] = read_in_pieces(bytes, {});
        RC_ASSERT(read.empty());
    }));
}

TEST_CASE("a length beyond the bound is rejected at once, not waited for") {
    std::string bytes =
        encode_frame(std::string(kMaxBodyBytes + 1, 'x')).substr(0, kFrameHeaderBytes);
    std::string_view body;
    std::size_t frame_bytes = 0;
    std::string error;
    CHECK(decode_frame(bytes, kMaxBodyBytes, body, frame_bytes, error) == FrameRead::bad);
    CHECK(error == "a frame of 4097 bytes, 4096 at most");
    CHECK(decode_frame("HTTP", kMaxBodyBytes, body, frame_bytes, error) == FrameRead::bad);
    CHECK(decode_frame(bytes.substr(0, 7), kMaxBodyBytes, body, frame_bytes, error) ==
          FrameRead::more);
}

TEST_CASE("entries and records survive encoding and decoding") {
    CHECK(rc::check([] {
        const Entry entry = arbitrary_entry();
        wire::Word word;
        wire::Word read;
        put(Gossip{entry}, *word.mutable_ping()->mutable_gossip());
        std::string_view body;
        std::size_t frame_bytes = 0;
        std::string error;
        const std::string frame = encode_message(word);
        RC_ASSERT(decode_frame(frame, 1 << 20, body, frame_bytes, error) == FrameRead::whole);
        RC_ASSERT(decode_message(body, read));
        RC_ASSERT(are_equal(gossip_from(read.ping().gossip()).at(0), entry));
    }));
    struct NullAuditLogHost : audit::AuditLogHost {
        void on_epoch_sealed(const audit::Epoch&) override {}
    } host;
    audit::AuditLog audit_log(host, Name{"a"}, Incarnation{3}, Disk{9}, "root", {}, 4, 10);
    for (int i = 0; i < 9; ++i) {
        audit::ActingState acting;
        acting.build = Build{i};
        acting.cap = 0.1 * i;
        acting.trial_participation = TrialParticipation::first_stage;
        audit_log.add_attempt(true);
        audit_log.add_vote(Vote::back);
        audit_log.set_acting_state(11 + i * 0.37, acting);
    }
    wire::Record encoded;
    put(audit_log.record(), encoded);
    const audit::Record read = record_from(encoded);
    CHECK(audit::find_record_fault(read).empty());
    CHECK(read.epochs.size() == audit_log.record().epochs.size());
    CHECK(read.open.acting == audit_log.acting());
    CHECK(read.fold->counts == audit_log.record().fold->counts);
}

TEST_CASE("a message with an enumerator out of range is read with a valid one") {
    wire::Entry odd;
    odd.set_name("x");
    odd.set_standing(99);
    CHECK(entry_from(odd).state == MemberState::left);
    wire::Word read;
    CHECK_FALSE(decode_message("", read));
    CHECK_FALSE(decode_message("\xff\xff\xff", read));
}

TEST_CASE("an operator file is accepted completely, or each fault is reported with its line") {
    ClusterConfig cluster_config;
    const std::string good =
        "fleet = {\n  member = \"n1\"; place = \"r\";\n  listen = \"127.0.0.1:7801\";\n"
        "  seeds = [\"127.0.0.1:7802\"];\n  audit = { grace = 2; witnesses = 4; };\n};\n";
    REQUIRE(read_cluster_config(good, cluster_config).empty());
    CHECK(cluster_config.address == "127.0.0.1:7801");
    CHECK(cluster_config.version_audit.grace == 2);
    CHECK(cluster_config.version_audit.witnesses == 4);
    CHECK(cluster_config.digest.size() == 16);

    const auto faults = [](const std::string& text) {
        ClusterConfig unused;
        std::string all;
        for (const ConfigError& fault : read_cluster_config(text, unused)) {
            all += text_of("f", fault) + "\n";
        }
        return all;
    };
    CHECK(faults("fleet = {\n member = \"n\";\n listen = 7;\n colour = 1;\n audit = {\n  most_out "
                 "= 1.5;\n "
                 "};\n};") ==
          "f:3: fleet.listen: is not a text; allowed: host:port in digits, as 10.0.0.1:7000\n"
          "f:4: fleet.colour: is not a known setting; allowed: address, audit, copies, folder, "
          "limits, listen, member, membership, place, planners, seeds\n"
          "f:6: fleet.audit.most_out: 1.5 is not from 0 to 0.9\n");
    CHECK(faults("fleet = { member = \"n\"; };").find("listen is missing") != std::string::npos);
    CHECK(faults("fleet = {\n member = \"n\"\n listen") == "f:3: syntax error\n");
    CHECK(faults("").find("fleet is missing") != std::string::npos);
    CHECK(faults("fleet = 3;").find("is not a group") != std::string::npos);
    CHECK(faults("fleet = { membership = { period = 0.1; answer_wait = 0.09; }; };")
              .find("answer_wait: 0.09 s is more than half of the period; allowed: up to 0.05 s") !=
          std::string::npos);
    CHECK(faults("fleet = { listen = \"here\"; };")
              .find("\"here\" is not an address; allowed: host:port in digits") !=
          std::string::npos);
    CHECK(faults("fleet = { audit = { witnesses = 2.5; }; };")
              .find("2.5 is not a whole number; allowed: 2 to 100") != std::string::npos);
    // Whatever is removed or inserted, the file is read completely or a fault is reported.
    CHECK(rc::check([&] {
        std::string text = good;
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        text.insert(at, *rc::gen::arbitrary<std::string>());
        ClusterConfig read;
        const auto read_faults = read_cluster_config(text, read);
        for (const ConfigError& fault : read_faults)
            RC_ASSERT(!fault.message.empty());
        if (read_faults.empty())
            RC_ASSERT(!read.name.value.empty() && !read.listen.empty());
    }));
}

}  // namespace tideline::test
