#include "model_checker/lease_model.hpp"

#include <fstream>
#include <stdexcept>

#include "model_checker/message_model.hpp"
#include "planner_world/world.hpp"

namespace tideline::model_checker {
namespace {

using simulation::PlannerWorld;
using simulation::PlannerWorldMessage;
using simulation::PlannerWorldSettings;

constexpr int kPlanners = 3;
constexpr int kMembers = 2;
constexpr double kTimeStep = 1;  // s

PlannerWorldSettings make_settings(std::size_t max_entries_per_message) {
    PlannerWorldSettings settings;
    settings.planners = kPlanners;
    settings.members = kMembers;
    // A large clock drift, so that few time steps suffice to show its effects.
    settings.drift = 0.2;
    settings.planner_core.leases = {3, 0.2, 100, 100};
    // The Raft timeouts never expire: elections and heartbeats are events of the search.
    settings.planner_core.raft = {1e9, 1e9, 2e9, max_entries_per_message, false};
    settings.lease_client = {100, 100, 100};
    return settings;
}

std::string name_of(int node) {
    return node < 0           ? "any"
           : node < kPlanners ? fmt::format("p{}", node + 1)
                              : fmt::format("m{}", node);
}

// Describes a Raft message. Returns an empty string if the message holds none.
std::string describe_raft_message(const wire::Planning& planning) {
    const std::string term = fmt::format(" in term {}", planning.reign());
    if (planning.has_vote_ask()) {
        return "requests a vote" + term;
    }
    if (planning.has_vote_answer()) {
        return (planning.vote_answer().granted() ? "votes" : "does not vote") + term;
    }
    if (planning.has_tell()) {
        return fmt::format("appends {} entries from {}, committed {}, round {}",
                           planning.tell().records_size(), planning.tell().before() + 1,
                           planning.tell().committed(), planning.tell().round()) +
               term;
    }
    if (planning.has_tell_snapshot()) {
        return fmt::format("sends a snapshot up to {}",
                           planning.tell_snapshot().snapshot().last()) +
               term;
    }
    if (planning.has_tell_answer()) {
        return fmt::format("log reaches {}{}, round {}", planning.tell_answer().reached(),
                           planning.tell_answer().fits() ? "" : " (mismatch)",
                           planning.tell_answer().round()) +
               term;
    }
    return {};
}

// Describes a message. The descriptions identify the delivery events in the setups of the scenarios
// and in replayed schedules.
std::string describe(const PlannerWorldMessage& message) {
    wire::Word envelope;
    envelope.ParseFromString(message.bytes);
    if (std::string text = describe_raft_message(envelope.planning()); !text.empty()) {
        return text;
    }
    if (envelope.has_lease_ask()) {
        constexpr const char* kTexts[] = {"requests the lease", "renews the lease",
                                          "releases the lease", "stops waiting"};
        const auto kind = static_cast<std::size_t>(envelope.lease_ask().what());
        return fmt::format("{}, request {}", kind < 4 ? kTexts[kind] : "raises or clears an alarm",
                           envelope.lease_ask().no() & 0xfffff);
    }
    if (envelope.has_lease_answer()) {
        constexpr const char* kTexts[] = {"granted", "waiting", "over", "not now", "refused"};
        return fmt::format("{} token {} to request {}", kTexts[envelope.lease_answer().what()],
                           envelope.lease_answer().fence(), envelope.lease_answer().no() & 0xfffff);
    }
    return fmt::format("notifies of the turn, token {}", envelope.turn().fence());
}

// The planners, the members and the messages between them.
class LeaseModel
    : public MessageModel<LeaseModel, PlannerWorld, PlannerWorldMessage, LeaseEventLimits> {
  public:
    explicit LeaseModel(std::size_t max_entries_per_message)
        : MessageModel(PlannerWorld(make_settings(max_entries_per_message))) {}

    std::vector<Event<LeaseModel>> events() const {
        Events events;
        add_deliveries(events);
        for (int i = 0; i < kPlanners; ++i) {
            add_planner_events(events, i);
        }
        for (int i = kPlanners; i < world.nodes(); ++i) {
            add_member_events(events, i);
        }
        if (remaining.time_steps > 0) {
            add_event(events, "a step of time", [](LeaseModel& model) { model.step_time(); });
        }
        return events;
    }
    std::string state() const {
        return world.state() + in_flight_state() +
               fmt::format("{}.{}.{}.{}.{}.{}.{}", remaining.elections, remaining.heartbeats,
                           remaining.crashes, remaining.wipes, remaining.time_steps,
                           remaining.redeliveries, remaining.lease_changes);
    }

  private:
    bool is_leader(int planner) const {
        return world.up(planner) && world.planner_core(planner)->raft().is_leader();
    }
    void step_time() {
        --remaining.time_steps;
        world.set_time(world.now() + kTimeStep);
        for (int i = 0; i < world.nodes(); ++i) {
            world.tick(i);
        }
    }
    // A message addressed to any planner may be delivered to each planner that is a leader.
    void add_deliveries(Events& events) const {
        for (const PlannerWorldMessage* message : distinct_messages()) {
            for (int to = 0; to < world.nodes(); ++to) {
                const bool is_receiver =
                    message->to == to || (message->to < 0 && to < kPlanners && is_leader(to));
                if (is_receiver && world.up(to)) {
                    add_delivery(events,
                                 fmt::format("{} to {}: {}", name_of(message->from), name_of(to),
                                             describe(*message)),
                                 *message, to);
                }
            }
        }
    }
    void add_planner_events(Events& events, int planner) const {
        const std::string name = name_of(planner);
        if (world.has_pending_writes(planner)) {
            add_event(events, name + " has stored",
                      [planner](LeaseModel& model) { model.world.complete_writes(planner); });
        }
        if (!world.up(planner)) {
            return add_start_events(events, planner);
        }
        if (!is_leader(planner) && remaining.elections > 0 && planner < remaining.candidates) {
            add_event(events, name + " starts an election", [planner](LeaseModel& model) {
                --model.remaining.elections;
                model.world.start_election(planner);
            });
        }
        if (is_leader(planner) && remaining.heartbeats > 0) {
            add_event(events, name + " sends heartbeats", [planner](LeaseModel& model) {
                --model.remaining.heartbeats;
                model.world.send_heartbeats(planner);
            });
        }
        if (remaining.crashes > 0) {
            add_event(events, name + " crashes", [planner](LeaseModel& model) {
                --model.remaining.crashes;
                model.world.crash(planner);
            });
        }
    }
    // Adds the events of a planner that is down.
    void add_start_events(Events& events, int planner) const {
        const std::string name = name_of(planner);
        add_event(events, name + " starts",
                  [planner](LeaseModel& model) { model.world.start(planner); });
        if (remaining.wipes > 0) {
            add_event(events, name + " is wiped", [planner](LeaseModel& model) {
                --model.remaining.wipes;
                model.world.wipe(planner);
            });
        }
    }
    void add_member_events(Events& events, int member) const {
        const std::string name = name_of(member);
        if (remaining.lease_changes > 0) {
            add_event(events,
                      name + (world.is_wanted(member) ? " no longer wants the lease"
                                                      : " wants the lease"),
                      [member](LeaseModel& model) {
                          --model.remaining.lease_changes;
                          model.world.set_wanted(member, !model.world.is_wanted(member));
                      });
        }
        if (world.may_act(member) && !world.has_pending_act(member)) {
            add_event(events, name + " checks that it may act",
                      [member](LeaseModel& model) { model.world.check_may_act(member); });
            if (remaining.heartbeats > 0) {
                add_event(events, name + " renews", [member](LeaseModel& model) {
                    --model.remaining.heartbeats;
                    model.world.renew_now(member);
                });
            }
        }
        if (world.has_pending_act(member)) {
            add_event(events, name + " acts",
                      [member](LeaseModel& model) { model.world.perform_act(member); });
        }
    }
};

// Enough events for each setup and for a replayed schedule.
const LeaseEventLimits kSetupLimits{9, 9, 9, 9, 9, 0, 9, 3};

}  // namespace

SearchResult search_leases(const LeaseScenario& scenario, int depth, std::size_t max_states) {
    LeaseModel model(scenario.max_entries_per_message);
    return search_scenario(model, scenario, kSetupLimits, depth, max_states);
}

bool replay(const std::string& path, std::size_t max_entries_per_message) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read the schedule file " + path);
    }
    Search<LeaseModel> search(0);
    LeaseModel model(max_entries_per_message);
    model.remaining = kSetupLimits;
    model.remaining.redeliveries = 9;
    for (std::string line; std::getline(file, line);) {
        const auto line_start = line.find_first_not_of(' ');
        if (line_start == std::string::npos || line[line_start] == '#') {
            continue;
        }
        if (!search.apply(model, line.substr(line_start))) {
            return false;
        }
    }
    fmt::print("worlds: {} events: all hold\n", search.path().size());
    return true;
}

}  // namespace tideline::model_checker
