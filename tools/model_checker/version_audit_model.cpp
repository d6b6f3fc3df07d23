#include "model_checker/version_audit_model.hpp"

#include <fmt/format.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "audit/version_audit.hpp"

namespace tideline::model_checker {
namespace {

using namespace tideline::audit;
using cluster::Entry;
using cluster::MemberState;

constexpr int kHonestMembers = 3;  // members 0 to 2; member 3 is Byzantine
constexpr int kMembers = kHonestMembers + 1;
constexpr std::uint64_t kLastRevision = 2;
constexpr ContentVersion kForgedVersion{9, 666};  // a version that the list never has
constexpr ContentVersion kReleaseVersion{1, 1};
constexpr Seconds kStartTime = 100;
constexpr Seconds kTimeStep = 1;
constexpr Seconds kMaxDuration = 5;
// Two witnesses are required, so that one Byzantine member alone cannot raise the required rank,
// and at most one member may be excluded.
const VersionAuditSettings kSettings{2, 1, 1, 2, 0.25};

Name name_of(int member) {
    return Name{std::string(1, static_cast<char>('a' + member))};
}
int index_of(const Name& name) {
    return name.value[0] - 'a';
}
ContentVersion version_of(std::uint64_t revision) {
    return {revision, revision == 0 ? 0 : 100 + revision};
}

// A request of a member that was not answered yet.
struct PendingReply {
    enum Kind { transfer, confirmation } kind;
    int from;
    int to;
    ContentVersion version;
    auto key() const {
        return std::tuple(static_cast<int>(kind), from, to, version.rank, version.digest);
    }
    bool operator<(const PendingReply& other) const {
        return key() < other.key();
    }
};

struct World;
// The host of the version audit of an honest member. It stores the requests as pending replies.
class Member : public VersionAuditHost {
  public:
    Member(World& owner, int member) : world(&owner), number(member) {}
    void request_versions(const Name&) override {}
    void request_transfer(const Name& from, VersionPart part) override;
    void request_confirmation(const Name& of, VersionPart part,
                              const ContentVersion& version) override;
    void apply_version(VersionPart, const ContentVersion& version) override {
        applied.push_back(version);
    }
    void notify_excluded(const Name&) override {}
    void gossip_exclusion(const Name& name, const Incarnation&, bool excluded) override;
    void trial_participation(TrialParticipation) override {}
    void raise_audit_alarm(const std::string&) override {}
    std::vector<ContentVersion> applied;
    World* world;
    int number;
};

// The honest members, with the indices from 0, and the Byzantine member after them.
struct World {
    World() {
        for (int i = 0; i < kHonestMembers; ++i) {
            hosts.emplace_back(*this, i);
        }
        for (int i = 0; i < kHonestMembers; ++i) {
            cores.emplace_back(hosts[static_cast<std::size_t>(i)], kSettings, name_of(i), now);
            for (int k = 0; k < kMembers; ++k) {
                gossip(i, k, false);
            }
            cores.back().set_own_version(now, VersionPart::release, kReleaseVersion);
            cores.back().set_own_version(now, VersionPart::list, version_of(1));
        }
    }
    World(const World& other)
        : now(other.now),
          revision(other.revision),
          pending_replies(other.pending_replies),
          exclusions(other.exclusions),
          hosts(other.hosts) {
        for (std::size_t i = 0; i < kHonestMembers; ++i) {
            hosts[i].world = this;
            cores.emplace_back(other.cores[i], hosts[i]);
        }
    }
    World& operator=(const World&) = delete;
    ~World() = default;

    // Tells the member `to` by gossip whether the member `of` is excluded.
    void gossip(int to, int of, bool excluded) {
        if (to == of) {
            return;
        }
        Entry entry;
        entry.name = name_of(of);
        entry.incarnation = cluster::Incarnation{1};
        entry.excluded = excluded;
        cores[static_cast<std::size_t>(to)].on_gossip(now, entry);
    }
    VersionAudit& core(int member) {
        return cores[static_cast<std::size_t>(member)];
    }
    const VersionAudit& core(int member) const {
        return cores[static_cast<std::size_t>(member)];
    }
    std::vector<Event<World>> events() const;
    void add_version_events(std::vector<Event<World>>& events, int member) const;
    void add_exclusion_events(std::vector<Event<World>>& events, int member) const;
    void step_time();
    void notify_exclusion(int member, int peer, bool excluded);
    void deliver_reply(const PendingReply& reply);
    std::string fault(const World& before) const;
    std::string state() const {
        std::string text = fmt::format("{} {} ", now, revision);
        for (const VersionAudit& core : cores) {
            text += core.state() + "|";
        }
        for (const PendingReply& each : pending_replies) {
            text += fmt::format("{}{}{}{},", static_cast<int>(each.kind), each.from, each.to,
                                each.version.rank);
        }
        for (const auto& [of, excluded] : exclusions) {
            text += fmt::format("{}{};", of, excluded);
        }
        return text;
    }

    Seconds now = kStartTime;
    std::uint64_t revision = 1;
    std::set<PendingReply> pending_replies;
    // What honest members gossip: the member, and whether it is excluded.
    std::map<int, bool> exclusions;
    std::deque<Member> hosts;
    std::deque<VersionAudit> cores;
};
void Member::request_transfer(const Name& from, VersionPart part) {
    if (part == VersionPart::list) {
        world->pending_replies.insert({PendingReply::transfer, index_of(from), number, {}});
    }
}
void Member::request_confirmation(const Name& of, VersionPart part, const ContentVersion& version) {
    if (part == VersionPart::list) {
        world->pending_replies.insert({PendingReply::confirmation, index_of(of), number, version});
    }
}
void Member::gossip_exclusion(const Name& name, const Incarnation&, bool excluded) {
    world->exclusions[index_of(name)] = excluded;
}

std::vector<Event<World>> World::events() const {
    std::vector<Event<World>> events;
    if (now < kStartTime + kMaxDuration) {
        events.push_back({"a second passes", [](World& world) { world.step_time(); }});
    }
    if (revision < kLastRevision) {
        events.push_back({"the list changes", [](World& world) { ++world.revision; }});
    }
    for (int member = 0; member < kHonestMembers; ++member) {
        add_version_events(events, member);
        add_exclusion_events(events, member);
    }
    for (const PendingReply& reply : pending_replies) {
        events.push_back(
            {fmt::format("{} answers {}", name_of(reply.from).value, name_of(reply.to).value),
             [reply](World& world) { world.deliver_reply(reply); }});
    }
    return events;
}

// Adds the events by which the member learns versions of the list.
void World::add_version_events(std::vector<Event<World>>& events, int member) const {
    const std::string name = name_of(member).value;
    if (core(member).own_list_rank() < revision) {
        events.push_back({fmt::format("{} receives the list", name), [member](World& world) {
                              world.core(member).set_own_version(world.now, VersionPart::list,
                                                                 version_of(world.revision));
                          }});
    }
    for (int peer = 0; peer < kHonestMembers; ++peer) {
        if (peer == member) {
            continue;
        }
        events.push_back({fmt::format("{} receives the version of {}", name, name_of(peer).value),
                          [member, peer](World& world) {
                              world.core(member).on_peer_version(
                                  world.now, name_of(peer), cluster::Incarnation{1},
                                  version_of(world.core(peer).own_list_rank()), kReleaseVersion);
                          }});
    }
    events.push_back({fmt::format("{} receives the version of the Byzantine member", name),
                      [member](World& world) {
                          world.core(member).on_peer_version(world.now, name_of(kHonestMembers),
                                                             cluster::Incarnation{1},
                                                             kForgedVersion, kReleaseVersion);
                      }});
}

// Adds the events by which the member learns of exclusions: from the Byzantine member and from
// honest members.
void World::add_exclusion_events(std::vector<Event<World>>& events, int member) const {
    const std::string name = name_of(member).value;
    for (int peer = 0; peer < kHonestMembers; ++peer) {
        events.push_back(
            {fmt::format("the Byzantine member tells {} that {} is excluded", name,
                         name_of(peer).value),
             [member, peer](World& world) { world.notify_exclusion(member, peer, true); }});
    }
    for (const auto& [peer, excluded] : exclusions) {
        events.push_back({fmt::format("{} receives gossip that {} is {}", name, name_of(peer).value,
                                      excluded ? "out" : "in"),
                          [member, peer = peer, excluded = excluded](World& world) {
                              world.notify_exclusion(member, peer, excluded);
                          }});
    }
}

void World::step_time() {
    now += kTimeStep;
    for (VersionAudit& each : cores) {
        each.tick(now);
    }
}

void World::notify_exclusion(int member, int peer, bool excluded) {
    if (peer == member) {
        core(member).on_own_exclusion(now, excluded);
    } else {
        gossip(member, peer, excluded);
    }
}

void World::deliver_reply(const PendingReply& reply) {
    pending_replies.erase(reply);
    const bool is_liar = reply.from == kHonestMembers;
    if (reply.kind == PendingReply::transfer) {
        const ContentVersion offered =
            is_liar ? kForgedVersion : version_of(core(reply.from).own_list_rank());
        core(reply.to).transfer_received(now, name_of(reply.from), VersionPart::list, offered);
        return;
    }
    const bool confirmed = is_liar || core(reply.from).confirms(VersionPart::list, reply.version);
    core(reply.to).confirmation_received(now, name_of(reply.from), VersionPart::list, reply.version,
                                         confirmed);
}

std::string World::fault(const World& before) const {
    const World& after = *this;
    for (int i = 0; i < kHonestMembers; ++i) {
        const VersionAudit& core_before = before.cores[static_cast<std::size_t>(i)];
        const VersionAudit& core_after = after.cores[static_cast<std::size_t>(i)];
        const std::string member_name = name_of(i).value;
        if (core_after.required_rank(VersionPart::list) <
            core_before.required_rank(VersionPart::list)) {
            return member_name + ": the required rank decreased";
        }
        if (core_after.required_rank(VersionPart::list) > after.revision) {
            return member_name + ": the required rank is above the newest revision of the list";
        }
        if (core_after.own_list_rank() < core_before.own_list_rank()) {
            return member_name + ": the rank of its list decreased";
        }
        for (const ContentVersion& version : after.hosts[static_cast<std::size_t>(i)].applied) {
            if (version != version_of(version.rank) || version.rank > after.revision) {
                return member_name + ": applied a version that the list never had";
            }
        }
        if (core_after.excluded_members().size() > 1) {
            return member_name + ": more members are excluded than the limit";
        }
        for (const Name& name : core_after.excluded_members()) {
            if (index_of(name) < kHonestMembers &&
                after.cores[static_cast<std::size_t>(index_of(name))].own_list_rank() >=
                    after.revision &&
                before.cores[static_cast<std::size_t>(index_of(name))].own_list_rank() >=
                    after.revision &&
                core_after.behind_for(after.now, name) <= kSettings.grace) {
                return member_name + ": excludes a member that acts on the newest revision";
            }
        }
    }
    return {};
}

// The setups: the initial state; a lags and knows it; c lags and b knows it.
const std::vector<std::vector<std::string>> kSetups = {
    {},
    {"the list changes", "b receives the list", "c receives the list",
     "a receives the version of b", "a receives the version of c", "a second passes"},
    {"the list changes", "a receives the list", "b receives the list",
     "b receives the version of a", "b receives the version of c", "a receives the version of c",
     "a second passes", "a second passes", "b receives the version of c",
     "a receives the version of c", "a second passes"}};

}  // namespace

SearchResult search_version_audit(int depth, std::size_t max_states) {
    SearchResult all;
    for (const auto& setup : kSetups) {
        Search<World> search(max_states);
        World world;
        for (const std::string& text : setup) {
            search.apply(world, text);
        }
        const SearchResult result = search.result(search.search_from(world, depth));
        all.states += result.states;
        all.steps += result.steps;
        all.reached_state_limit |= result.reached_state_limit;
        all.holds &= result.holds;
        if (!all.holds) {
            break;
        }
    }
    return all;
}

}  // namespace tideline::model_checker
