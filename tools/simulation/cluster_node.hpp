// One member of the simulated cluster, with the production membership and version audit. A message
// is a call that the cluster executes at the receiver later.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "simulation/cluster_simulation.hpp"

namespace tideline::simulation {

using audit::ContentVersion;
using audit::VersionPart;

// The version of the release status that every member has.
inline constexpr ContentVersion kReleaseVersion{1, 11};
inline constexpr Seconds kAuditInterval = 0.5;  // between two ticks of the version audit

// Returns the version of the endpoint list with this revision.
inline ContentVersion list_version(std::uint64_t revision) {
    return {revision, revision * 100 + 7};
}

// A member in one incarnation. Owned by the cluster.
class SimulatedCluster::Node : public MembershipHost, public audit::VersionAuditHost {
  public:
    Node(SimulatedCluster& owner, int node_number, std::uint64_t node_incarnation)
        : simulated_cluster(owner),
          number(node_number),
          incarnation(node_incarnation),
          membership(*this, owner.settings_.membership, entry(), {address(0), address(1)},
                     owner.settings_.seed * 100003ULL +
                         static_cast<std::uint64_t>(node_number) * 17 + node_incarnation,
                     owner.now_),
          version_audit(*this, owner.settings_.version_audit, name_of(node_number), owner.now_) {
        const std::uint64_t lag = owner.muted_[static_cast<std::size_t>(number)] ? 1 : 0;
        apply_list_revision(std::max<std::uint64_t>(1, owner.revision_ - lag));
        version_audit.set_own_version(owner.now_, VersionPart::release, kReleaseVersion);
    }
    static std::string address(int member) {
        return fmt::format("a{}", member);
    }
    // The entry with which this member joins.
    Entry entry() const {
        Entry own;
        own.name = name_of(number);
        own.incarnation = Incarnation{incarnation};
        own.address = address(number);
        return own;
    }
    // Applies a revision of the endpoint list. Ignores a revision that is older than the current
    // one.
    void apply_list_revision(std::uint64_t new_revision) {
        if (new_revision < revision) {
            return;
        }
        revision = new_revision;
        version_audit.set_own_version(simulated_cluster.now_, VersionPart::list,
                                      list_version(revision));
        Version version;
        version.list = ListRevision{revision};
        membership.set_own_versions(simulated_cluster.now_, version);
    }
    // The part of each message that describes its sender.
    struct Sender {
        Entry from;
        ContentVersion list;
    };
    Sender describe_self() const {
        Sender sender{membership.self(), list_version(revision)};
        if (simulated_cluster.byzantine_ == number) {
            sender.list = {revision + 1000000, 1};
            sender.from.version.list = ListRevision{revision + 1000000};
        }
        return sender;
    }
    void record_version(const Sender& sender) {
        version_audit.on_peer_version(simulated_cluster.now_, sender.from.name,
                                      sender.from.incarnation, sender.list, kReleaseVersion);
    }
    // Sends a message with this number of gossip entries. The call is executed at the receiver.
    template <class Call>
    void send(const Name& to, std::size_t entries, Call call) {
        const int member = std::stoi(to.value.substr(1));
        simulated_cluster.send(number, member, entries,
                               [sender = describe_self(), call](Node& node) {
                                   call(node, sender);
                                   node.record_version(sender);
                               });
    }
    // Implements MembershipHost.
    void ping(const Name& to, PingId id, const Gossip& gossip) override {
        Gossip changed_gossip = gossip;
        if (simulated_cluster.byzantine_ == number) {  // its gossip excludes all others
            for (Entry& each : changed_gossip) {
                if (each.name != name_of(number)) {
                    each.excluded = true;
                    each.ruling_number += 1;
                }
            }
        }
        send(to, gossip.size(), [id, changed_gossip](Node& node, const Sender& sender) {
            node.membership.ping_received(node.simulated_cluster.now_, sender.from, id,
                                          changed_gossip);
        });
    }
    void request_indirect_ping(const Name& helper, PingId id, const Name& target,
                               const Gossip& gossip) override {
        send(helper, gossip.size(), [id, target, gossip](Node& node, const Sender& sender) {
            node.membership.indirect_ping_requested(node.simulated_cluster.now_, sender.from, id,
                                                    target, gossip);
        });
    }
    void acknowledge(const Name& to, PingId id, const Gossip& gossip) override {
        send(to, gossip.size(), [id, gossip](Node& node, const Sender& sender) {
            node.membership.answered(node.simulated_cluster.now_, sender.from, id, gossip);
        });
    }
    void report_no_answer(const Name& to, PingId id) override {
        send(to, 0, [id](Node& node, const Sender& sender) {
            node.membership.no_answer_reported(node.simulated_cluster.now_, sender.from, id);
        });
    }
    void request_table(const std::string& to) override {
        send(name_of(std::stoi(to.substr(1))), 0, [](Node& node, const Sender& sender) {
            node.membership.table_requested(node.simulated_cluster.now_, sender.from);
        });
    }
    void send_table(const Name& to, const Gossip& part, bool wants_back) override {
        send(to, part.size(), [part, wants_back](Node& node, const Sender& sender) {
            node.membership.table_received(node.simulated_cluster.now_, sender.from, part,
                                           wants_back);
        });
    }
    void on_member_changed(const Entry& entry, MemberState before, bool) override {
        if (entry.name == name_of(number)) {
            return version_audit.on_own_exclusion(simulated_cluster.now_, entry.excluded);
        }
        version_audit.on_gossip(simulated_cluster.now_, entry);
        const int member = std::stoi(entry.name.value.substr(1));
        if (!simulated_cluster.is_alive(member) || simulated_cluster.is_slow(member) ||
            entry.state == before) {
            return;
        }
        simulated_cluster.figures_.suspected += entry.state == MemberState::suspected;
        simulated_cluster.figures_.taken_for_gone += entry.state == MemberState::gone;
    }
    void raise_membership_alarm(const std::string&) override {}
    // Implements VersionAuditHost.
    void request_versions(const Name& of) override {
        ping(of, PingId{0}, {});
    }
    void request_transfer(const Name& from, VersionPart part) override {
        const Name own = name_of(number);
        send(from, 0, [own, part](Node& node, const Sender&) {
            const ContentVersion offered = node.describe_self().list;
            node.send(own, 0, [part, offered](Node& requester, const Sender& sender) {
                requester.version_audit.transfer_received(requester.simulated_cluster.now_,
                                                          sender.from.name, part, offered);
            });
        });
    }
    void request_confirmation(const Name& of, VersionPart part,
                              const ContentVersion& version) override {
        const Name own = name_of(number);
        send(of, 0, [own, part, version](Node& node, const Sender&) {
            const bool confirmed = node.version_audit.confirms(part, version);
            node.send(own, 0, [part, version, confirmed](Node& requester, const Sender& sender) {
                requester.version_audit.confirmation_received(
                    requester.simulated_cluster.now_, sender.from.name, part, version, confirmed);
            });
        });
    }
    void apply_version(VersionPart part, const ContentVersion& version) override {
        if (part != VersionPart::list) {
            return;
        }
        simulated_cluster.run_when_awake(
            number, simulated_cluster.now_,
            [rank = version.rank](Node& node) { node.apply_list_revision(rank); });
    }
    void notify_excluded(const Name& name) override {
        send(name, 0, [](Node& node, const Sender& sender) {
            node.version_audit.on_refusal(node.simulated_cluster.now_, sender.from.name);
        });
    }
    void gossip_exclusion(const Name& name, const Incarnation& member_incarnation,
                          bool excluded) override {
        membership.rule_on_exclusion(simulated_cluster.now_, name, member_incarnation, excluded);
    }
    void trial_participation(TrialParticipation) override {}
    void raise_audit_alarm(const std::string&) override {}

    // Schedules the next tick of the membership when it is due.
    void schedule_tick() {
        const Seconds due = membership.due();
        if (due == next_tick) {
            return;
        }
        next_tick = due;
        simulated_cluster.run_when_awake(number, due, [due](Node& node) {
            if (node.next_tick != due) {
                return;
            }
            node.next_tick = -1;
            node.membership.tick(node.simulated_cluster.now_);
        });
    }
    // Schedules the next tick of the version audit, which schedules the one after it.
    void schedule_audit() {
        simulated_cluster.run_when_awake(number, simulated_cluster.now_ + kAuditInterval,
                                         [](Node& node) {
                                             node.version_audit.tick(node.simulated_cluster.now_);
                                             node.schedule_audit();
                                         });
    }

    SimulatedCluster& simulated_cluster;
    const int number;
    const std::uint64_t incarnation;
    std::uint64_t revision = 0;
    Membership membership;
    audit::VersionAudit version_audit;
    Seconds next_tick = -1;
    Seconds paused_since = -1;                               // -1: not paused
    std::vector<std::function<void(Node&)>> deferred_calls;  // calls received while paused
};

}  // namespace tideline::simulation
