#include "simulation/cluster_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "cluster/message_codec.hpp"
#include "simulation/cluster_node.hpp"
#include "simulation/random.hpp"

namespace tideline::simulation {
namespace {

// Returns the size in bytes of a frame with a ping that has this number of gossip entries, as the
// production codec encodes it. One message holds at most 64 entries.
double bytes_of(std::size_t entries) {
    static const std::vector<double> bytes_by_entries = [] {
        std::vector<double> bytes;
        Entry entry;
        entry.name = Name{"m0123"};
        entry.incarnation = Incarnation{1796167642040};
        entry.refutation_count = RefutationCount{1};
        entry.address = "127.0.1.123:7801";
        entry.place = Place{"rack-12"};
        entry.disk = Disk{~0ULL};
        entry.version = {ListRevision{4000}, ReleaseRank{44105730}};
        for (std::size_t count = 0; count <= 64; ++count) {
            wire::Word message;
            put(entry, *message.mutable_from()->mutable_self());
            for (auto* version :
                 {message.mutable_from()->mutable_list(), message.mutable_from()->mutable_news()}) {
                version->set_rank(4000);
                version->set_digest(~0ULL);
            }
            message.mutable_from()->set_head_number(300);
            message.mutable_from()->set_head(std::string(32, 'x'));
            message.mutable_ping()->set_no(5000);
            put(Gossip(count, entry), *message.mutable_ping()->mutable_gossip());
            bytes.push_back(static_cast<double>(encode_message(message).size()));
        }
        return bytes;
    }();
    return bytes_by_entries[std::min(entries, bytes_by_entries.size() - 1)];
}

}  // namespace

Name SimulatedCluster::name_of(int member) {
    return Name{fmt::format("m{:04}", member)};
}

SimulatedCluster::SimulatedCluster(const ClusterSimulationSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      nodes_(static_cast<std::size_t>(settings.members)),
      incarnations_(nodes_.size(), 0),
      delays_(nodes_.size(), 0),
      muted_(nodes_.size(), false),
      sleeps_(nodes_.size(), {-1, -1}) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (draw(0, 1) < settings.slow_share) {
            sleeps_[i] = {now_ + draw(0, 0.3), now_ + draw(0.5, 3)};
        }
    }
    for (int i = 0; i < settings.members; ++i) {
        start(i);
    }
    if (!settings.all_members_known) {
        return;
    }
    Gossip gossip;
    for (auto& node : nodes_) {
        gossip.push_back(node->entry());
    }
    for (auto& node : nodes_) {
        node->membership.table_received(now_, gossip[0], gossip, false);
    }
}

SimulatedCluster::~SimulatedCluster() = default;

double SimulatedCluster::draw(double from, double to) {
    return draw_uniform(random_, from, to);
}

void SimulatedCluster::schedule(Seconds when, std::function<void()> call) {
    scheduled_.push({when, ++order_, std::move(call)});
}

Seconds SimulatedCluster::next_awake_time(int member, Seconds when) {
    auto& [awake, asleep] = sleeps_[static_cast<std::size_t>(member)];
    if (awake < 0) {
        return when;
    }
    while (when >= asleep) {
        awake = asleep + 0.3;
        asleep = awake + draw(0.5, 3);
    }
    return when < awake ? when : asleep;
}

void SimulatedCluster::run_when_awake(int to, Seconds when, std::function<void(Node&)> call) {
    const std::uint64_t incarnation = incarnations_[static_cast<std::size_t>(to)];
    schedule(next_awake_time(to, when), [this, to, incarnation, call = std::move(call)] {
        Node* node = nodes_[static_cast<std::size_t>(to)].get();
        if (!node || node->incarnation != incarnation) {
            return;
        }
        if (node->paused_since >= 0) {
            return node->deferred_calls.push_back(call);
        }
        call(*node);
        node->schedule_tick();
        if (after_step) {
            after_step(to);
        }
    });
}

void SimulatedCluster::send(int from, int to, std::size_t entries,
                            std::function<void(Node&)> call) {
    ++figures_.messages;
    figures_.bytes += bytes_of(entries);
    const Seconds transit = draw(settings_.min_transit, settings_.max_transit) +
                            delays_[static_cast<std::size_t>(from)] +
                            delays_[static_cast<std::size_t>(to)];
    if (draw(0, 1) < settings_.loss || cuts_.contains({from, to}) || !is_alive(to)) {
        return;
    }
    run_when_awake(to, now_ + transit, std::move(call));
}

void SimulatedCluster::run(Seconds until) {
    while (!scheduled_.empty() && scheduled_.top().due <= until) {
        const ScheduledEvent event = scheduled_.top();
        scheduled_.pop();
        now_ = std::max(now_, event.due);
        event.call();
    }
    now_ = until;
}

void SimulatedCluster::kill(int member) {
    nodes_[static_cast<std::size_t>(member)].reset();
}

void SimulatedCluster::start(int member) {
    auto& node = nodes_[static_cast<std::size_t>(member)];
    if (node) {
        return;
    }
    const std::uint64_t incarnation = ++incarnations_[static_cast<std::size_t>(member)];
    node = std::make_unique<Node>(*this, member, incarnation);
    node->schedule_tick();
    node->schedule_audit();
}

void SimulatedCluster::set_paused(int member, bool paused) {
    Node* node = nodes_[static_cast<std::size_t>(member)].get();
    if (!node || paused == (node->paused_since >= 0)) {
        return;
    }
    if (paused) {
        node->paused_since = now_;
        return;
    }
    node->paused_since = -1;
    // As in the event loop, deferred messages are handled in their order before timers.
    std::vector<std::function<void(Node&)>> deferred_calls;
    std::swap(deferred_calls, node->deferred_calls);
    for (auto& call : deferred_calls) {
        run_when_awake(member, now_, std::move(call));
    }
}

void SimulatedCluster::set_cut(int from, int to, bool is_cut) {
    if (is_cut) {
        cuts_.emplace(from, to);
    } else {
        cuts_.erase({from, to});
    }
}

void SimulatedCluster::set_muted(int member, bool muted) {
    muted_[static_cast<std::size_t>(member)] = muted;
    if (!muted) {
        run_when_awake(member, now_ + 0.01,
                       [rank = revision_](Node& node) { node.apply_list_revision(rank); });
    }
}

void SimulatedCluster::publish_revision() {
    ++revision_;
    for (int i = 0; i < settings_.members; ++i) {
        if (!muted_[static_cast<std::size_t>(i)] && is_alive(i)) {
            run_when_awake(i, now_ + draw(0.001, 0.05),
                           [rank = revision_](Node& node) { node.apply_list_revision(rank); });
        }
    }
}

void SimulatedCluster::make_byzantine(int member) {
    byzantine_ = member;
}

bool SimulatedCluster::is_alive(int member) const {
    return member >= 0 && member < settings_.members &&
           nodes_[static_cast<std::size_t>(member)] != nullptr;
}

bool SimulatedCluster::is_slow(int member) const {
    return sleeps_[static_cast<std::size_t>(member)].first >= 0;
}

const Membership& SimulatedCluster::membership(int member) const {
    return nodes_[static_cast<std::size_t>(member)]->membership;
}

const audit::VersionAudit& SimulatedCluster::version_audit(int member) const {
    return nodes_[static_cast<std::size_t>(member)]->version_audit;
}

std::uint64_t SimulatedCluster::list_revision_of(int member) const {
    return nodes_[static_cast<std::size_t>(member)]->revision;
}

MemberState SimulatedCluster::state_of(int by, int of) const {
    const auto entry = membership(by).find(name_of(of));
    return entry ? entry->state : MemberState::left;
}

}  // namespace tideline::simulation
