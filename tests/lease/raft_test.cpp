// Tests of Raft alone: elections, persistence before replies, catching up, and membership changes.
// tools/model_checker searches all orders of messages, and tools/simulation samples random ones.
#include "raft/raft.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace tideline::test {
namespace {

using namespace raft;

ServerId server(int number) {
    return {static_cast<std::uint64_t>(number)};
}

struct RaftCluster {
    struct Node : RaftTransport, RaftStateMachine {
        Node(RaftCluster& all, int node_number) : cluster(all), number(node_number) {}
        void send(ServerId to, const RequestVote& message) override {
            deliver(to, message);
        }
        void send(ServerId to, const RequestVoteReply& message) override {
            ++vote_replies_sent;
            deliver(to, message);
        }
        void send(ServerId to, const AppendEntries& message) override {
            deliver(to, message);
        }
        void send(ServerId to, const InstallSnapshot& message) override {
            ++snapshots_sent;
            deliver(to, message);
        }
        void send(ServerId to, const AppendEntriesReply& message) override {
            ++append_replies_sent;
            deliver(to, message);
        }
        template <class Message>
        void deliver(ServerId to, const Message& message) {
            cluster.send(number, to, [=, from = server(number)](Node& node) {
                node.raft->handle(node.cluster.now, from, to, message);
            });
        }
        void persist(PersistId id, const PersistRequest&) override {
            last_requested = id;
        }
        void log_event(const std::string&) override {}
        void apply(LogIndex, const LogEntry& entry) override {
            if (entry.kind == EntryKind::command) {
                applied_commands += entry.command;
            }
        }
        void restore(const Snapshot& snapshot) override {
            applied_commands = snapshot.state;
        }
        void complete_writes() {
            if (last_requested > last_persisted) {
                last_persisted = last_requested;
                raft->on_persisted(cluster.now, last_persisted);
            }
        }
        RaftCluster& cluster;
        const int number;
        std::unique_ptr<Raft> raft;
        PersistId last_requested;
        PersistId last_persisted;
        std::string applied_commands;
        int vote_replies_sent = 0;
        int append_replies_sent = 0;
        int snapshots_sent = 0;
    };
    explicit RaftCluster(int count, int voters = 0) {
        VoterSet voter_set;
        for (int i = 1; i <= (voters > 0 ? voters : count); ++i) {
            voter_set[server(i)] = {Name{"p" + std::to_string(i)}, "a", true};
        }
        for (int i = 1; i <= count; ++i) {
            nodes.push_back(std::make_unique<Node>(*this, i));
            PersistentState state;
            if (voter_set.contains(server(i))) {
                state.snapshot = {{1}, {1}, voter_set, ""};
            }
            Node& node = *nodes.back();
            node.raft =
                std::make_unique<Raft>(node, node, RaftSettings{}, server(i), state, 7, now);
        }
    }
    Node& at(int number) {
        return *nodes[static_cast<std::size_t>(number - 1)];
    }
    Raft& raft(int number) {
        return *at(number).raft;
    }
    void send(int from, ServerId to, std::function<void(Node&)> call) {
        const int number = static_cast<int>(to.value);
        if (!partitioned.contains(from) && !partitioned.contains(number)) {
            messages.emplace_back(number, std::move(call));
        }
    }
    void deliver_all_messages(bool writes = true) {
        for (bool progressed = true; progressed;) {
            progressed = false;
            while (!messages.empty()) {
                const auto [to, call] = messages.front();
                messages.pop_front();
                call(at(to));
                progressed = true;
            }
            for (auto& node : nodes) {
                if (writes && node->last_requested > node->last_persisted) {
                    node->complete_writes();
                    progressed = true;
                }
            }
        }
    }
    void advance_time(Seconds span) {
        for (const Seconds until = now + span; now < until; now += 0.05) {
            for (auto& node : nodes) {
                if (now >= node->raft->due()) {
                    node->raft->tick(now);
                }
            }
            deliver_all_messages();
        }
    }
    int leader() {
        int found = 0;
        for (auto& node : nodes) {
            if (node->raft->is_leader() && !partitioned.contains(node->number)) {
                found = node->number;
            }
        }
        return found;
    }
    Seconds now = 100;
    std::vector<std::unique_ptr<Node>> nodes;
    std::deque<std::pair<int, std::function<void(Node&)>>> messages;
    std::set<int> partitioned;
};

}  // namespace

TEST_CASE("one leader is elected, and all apply what it commits", "[raft]") {
    RaftCluster cluster(5);
    cluster.advance_time(3);
    REQUIRE(cluster.leader() > 0);
    cluster.raft(cluster.leader()).propose("a");
    cluster.raft(cluster.leader()).propose("b");
    cluster.advance_time(0.5);
    for (int i = 1; i <= 5; ++i) {
        CHECK(cluster.at(i).applied_commands == "ab");
    }
}

TEST_CASE("no vote or acknowledgement is sent before it is stored", "[raft]") {
    RaftCluster cluster(3);
    cluster.raft(1).on_election_timeout(cluster.now);
    // The pre-vote succeeds, but the candidate's own vote is not stored yet.
    cluster.deliver_all_messages(false);
    CHECK(cluster.at(2).vote_replies_sent == 1);
    cluster.at(1).complete_writes();
    cluster.deliver_all_messages(false);
    // The vote was requested and granted, but it is not stored yet and so not sent.
    CHECK(cluster.at(2).vote_replies_sent == 1);
    cluster.at(2).complete_writes();
    cluster.deliver_all_messages(false);
    REQUIRE(cluster.raft(1).is_leader());
    const int acks = cluster.at(2).append_replies_sent;
    cluster.at(2).complete_writes();
    cluster.deliver_all_messages(false);
    CHECK(cluster.at(2).append_replies_sent > acks);
    // The follower has stored the leader's first entry, but the leader itself has not.
    CHECK(cluster.raft(1).commit_index() == LogIndex{1});
    cluster.at(1).complete_writes();
    CHECK(cluster.raft(1).commit_index() == LogIndex{2});
}

TEST_CASE("a leader that reaches no majority steps down, and its uncommitted entries are discarded",
          "[raft]") {
    RaftCluster cluster(3);
    cluster.advance_time(3);
    const int old = cluster.leader();
    cluster.partitioned = {old};
    cluster.raft(old).propose("lost");
    cluster.advance_time(4);
    CHECK_FALSE(cluster.raft(old).is_leader());
    REQUIRE(cluster.leader() > 0);
    cluster.raft(cluster.leader()).propose("kept");
    cluster.advance_time(0.5);
    const Term term = cluster.raft(cluster.leader()).term();
    cluster.partitioned = {};
    cluster.advance_time(2);
    for (int i = 1; i <= 3; ++i) {
        CHECK(cluster.at(i).applied_commands == "kept");
    }
    // The server that was partitioned did not depose the leader, because its pre-vote failed.
    CHECK(cluster.raft(cluster.leader()).term() == term);
}

TEST_CASE("a candidate of a lower term is elected if it alone has a complete log", "[raft]") {
    RaftCluster cluster(3);
    cluster.advance_time(3);
    const int leader_number = cluster.leader();
    const int lagging = leader_number == 3 ? 2 : 3;
    const int up_to_date = 6 - leader_number - lagging;
    cluster.partitioned = {lagging};
    cluster.raft(leader_number).propose("a");
    cluster.advance_time(2);
    cluster.raft(lagging).handle(cluster.now, server(up_to_date), server(lagging),
                                 RequestVote{{9}, {}, {}, false});
    cluster.deliver_all_messages();
    REQUIRE(cluster.raft(lagging).term() == Term{9});
    cluster.partitioned = {leader_number};
    cluster.advance_time(6);
    CHECK(cluster.leader() == up_to_date);
}

TEST_CASE("a server that was partitioned for long gets the snapshot and the entries after it",
          "[raft]") {
    RaftCluster cluster(3);
    cluster.advance_time(3);
    const int leader_number = cluster.leader();
    const int disconnected = leader_number == 3 ? 2 : 3;
    cluster.partitioned = {disconnected};
    std::string all;
    for (int i = 0; i < 40; ++i) {
        cluster.raft(leader_number).propose(std::string(1, static_cast<char>('a' + i % 26)));
        all += static_cast<char>('a' + i % 26);
        cluster.deliver_all_messages();
    }
    cluster.raft(leader_number)
        .compact(cluster.raft(leader_number).last_applied(),
                 cluster.at(leader_number).applied_commands);
    cluster.raft(leader_number).propose("!");
    cluster.deliver_all_messages();
    cluster.partitioned = {};
    cluster.advance_time(1);
    CHECK(cluster.at(leader_number).snapshots_sent > 0);
    CHECK(cluster.at(disconnected).applied_commands == all + "!");
    CHECK(cluster.raft(disconnected).voters().size() == 3);
}

TEST_CASE("voters change one at a time, and a removed leader steps down", "[raft]") {
    RaftCluster cluster(4, 3);
    cluster.advance_time(3);
    Raft& raft = cluster.raft(cluster.leader());
    VoterSet next = raft.voters();
    next[server(4)] = {Name{"p4"}, "a", true};
    VoterSet two_changes = next;
    two_changes.erase(server(cluster.leader()));
    CHECK_FALSE(raft.change_voters(two_changes));  // it changes two votes
    REQUIRE(raft.change_voters(next));
    CHECK_FALSE(raft.change_voters(two_changes));  // the first change is not committed yet
    cluster.advance_time(1);
    CHECK(cluster.raft(4).is_voter());
    const int former_leader = cluster.leader();
    REQUIRE(cluster.raft(former_leader).change_voters(two_changes));
    cluster.advance_time(3);
    CHECK_FALSE(cluster.raft(former_leader).is_leader());
    REQUIRE(cluster.leader() > 0);
    CHECK(cluster.leader() != former_leader);
    // A voter set needs at least one voter.
    CHECK_FALSE(cluster.raft(cluster.leader()).change_voters({}));
}

TEST_CASE("a round is confirmed only by a majority that answered after it began", "[raft]") {
    RaftCluster cluster(3);
    cluster.advance_time(3);
    const int leader_number = cluster.leader();
    const Round first = cluster.raft(leader_number).start_round();
    CHECK(cluster.raft(leader_number).confirmed_round() < first);
    cluster.deliver_all_messages();
    CHECK(cluster.raft(leader_number).confirmed_round() >= first);
    cluster.partitioned = {leader_number};
    const Round second = cluster.raft(leader_number).start_round();
    cluster.deliver_all_messages();
    CHECK(cluster.raft(leader_number).confirmed_round() < second);
}

TEST_CASE("under any partitions all servers apply the same entries, and committed entries are kept",
          "[raft]") {
    CHECK(rc::check([] {
        RaftCluster cluster(*rc::gen::element(3, 5));
        const int count = static_cast<int>(cluster.nodes.size());
        std::string committed;  // the longest sequence of commands that any server has applied
        char next = 'a';
        for (int i = 0; i < 25; ++i) {
            const int server_number = *rc::gen::inRange(1, count + 1);
            switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    if (static_cast<int>(cluster.partitioned.size()) < count / 2)
                        cluster.partitioned.insert(server_number);
                    break;
                case 1:
                    cluster.partitioned.clear();
                    break;
                case 2:
                    cluster.raft(server_number).on_election_timeout(cluster.now);
                    break;
                case 3: {
                    Raft& raft = cluster.raft(server_number);
                    raft.compact(raft.last_applied(), cluster.at(server_number).applied_commands);
                    break;
                }
                case 4:
                    cluster.advance_time(*rc::gen::inRange(1, 20) * 0.1);
                    break;
                default:
                    if (cluster.raft(server_number).propose(std::string(1, next)) > LogIndex{})
                        ++next;
            }
            if (*rc::gen::inRange(0, 2) == 0)
                cluster.deliver_all_messages();
            for (const auto& node : cluster.nodes) {
                const std::string& applied = node->applied_commands;
                const auto same = std::min(applied.size(), committed.size());
                RC_ASSERT(applied.substr(0, same) == committed.substr(0, same));
                if (applied.size() > committed.size())
                    committed = applied;
            }
        }
        cluster.partitioned.clear();
        cluster.advance_time(6);
        RC_ASSERT(cluster.leader() > 0);
        for (const auto& node : cluster.nodes) {
            RC_ASSERT(node->applied_commands == cluster.at(cluster.leader()).applied_commands);
            RC_ASSERT(node->applied_commands.substr(0, committed.size()) == committed);
        }
    }));
}

}  // namespace tideline::test
