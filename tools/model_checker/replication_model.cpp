#include "model_checker/replication_model.hpp"

#include "model_checker/message_model.hpp"
#include "replication/placement.hpp"
#include "replication_world/world.hpp"

namespace tideline::model_checker {
namespace {

using simulation::ReplicationWorld;
using simulation::ReplicationWorldSettings;
using simulation::WorldMessage;

constexpr int kMembers = 3;
constexpr int kRepairCoordinator = 2;  // the last member
// In seconds.
constexpr double kTimeStep = 0.6;    // longer than the time limit of a claim
constexpr double kStartTime = 1000;  // all grace periods that begin at 0 are over by then
constexpr double kRequestTimeout = 1e5;

ReplicationWorldSettings make_settings(int replicas) {
    ReplicationWorldSettings settings;
    settings.members = kMembers;
    settings.places = kMembers;
    settings.reports = false;
    settings.repair_coordinator.shards = 1;
    settings.repair_coordinator.replicas = settings.repair_coordinator.min_replicas =
        static_cast<std::size_t>(replicas);
    settings.repair_coordinator.absence_limit = settings.repair_coordinator.report_interval = 0;
    settings.replica.time_to_live = 1e6;
    settings.replica.resend_interval = 1e5;
    settings.replica.comparison_interval = 1e5;
    settings.replica.lag_limit = 1e5;
    settings.effect_log.resend_interval = 1e5;
    settings.effect_log.poll_interval = 1e5;
    settings.effect_log.notification_timeout = 1e5;
    return settings;
}
std::string name_of(int node) {
    return node < kMembers ? fmt::format("n{}", node + 1) : "planners";
}

// Describes a message. The descriptions identify the delivery events in the setups of the
// scenarios.
std::string describe(const WorldMessage& message) {
    if (message.bytes[0] == simulation::kTableMessage) {
        replication::ReplicaTable table;
        replication::table_from(message.bytes.substr(1), table);
        return fmt::format("table {}", table.version.value);
    }
    if (message.bytes[0] == simulation::kProposalMessage) {
        return "proposes a table";
    }
    if (message.bytes[0] == simulation::kRejectionMessage) {
        return "rejects a table: the current one is newer";
    }
    if (message.bytes[0] == simulation::kTableRequestMessage) {
        return "requests the table";
    }
    wire::Holding holding;
    holding.ParseFromString(message.bytes.substr(1));
    if (holding.has_ask()) {
        constexpr const char* kTexts[] = {"claims", "settles", "keeps", "looks"};
        return fmt::format("{} {}", kTexts[holding.ask().what() % 4],
                           holding.ask().no() & 0xffffff);
    }
    if (holding.has_reply()) {
        return fmt::format("reply {} to {}", holding.reply().what(),
                           holding.reply().no() & 0xffffff);
    }
    if (holding.has_copy()) {
        return fmt::format("copy {} since {}{}", holding.copy().no(), holding.copy().since(),
                           holding.copy().has_record()
                               ? fmt::format(" of step {}", holding.copy().record().step() & 0xffff)
                               : "");
    }
    if (holding.has_copied()) {
        return fmt::format("copied {}", holding.copied().no());
    }
    if (holding.has_refused()) {
        return fmt::format("refuses {}", holding.refused().no());
    }
    if (holding.has_compare()) {
        return fmt::format("compares {} since {}", holding.compare().no(),
                           holding.compare().since());
    }
    return fmt::format("differs {} in {}", holding.differs().no(), holding.differs().ranges_size());
}

// Returns the initial table: one shard whose replicas are at the first members.
replication::ReplicaTable first_table(int replicas) {
    replication::ReplicaTable table;
    table.version.value = 1;
    table.replication_factor = table.min_replicas = static_cast<std::size_t>(replicas);
    table.shards.resize(1);
    for (int i = 0; i < kMembers; ++i) {
        table.disks[ReplicationWorld::name_of(i)] =
            cluster::Disk{static_cast<std::uint64_t>(i + 1) * 1000 + 1};
    }
    for (int i = 0; i < replicas; ++i) {
        table.shards[0].replicas.push_back(ReplicationWorld::name_of(i));
    }
    table.shards[0].since_table.value = 1;
    return table;
}

// The members, the table that the planners store, and the messages between them.
class ReplicationModel : public MessageModel<ReplicationModel, ReplicationWorld, WorldMessage,
                                             ReplicationEventLimits> {
  public:
    explicit ReplicationModel(int replicas)
        : MessageModel(ReplicationWorld(make_settings(replicas))) {
        world.set_time(kStartTime);
        for (int i = 0; i < kMembers; ++i) {
            for (int j = 0; j < kMembers; ++j) {
                world.notify_membership(i, j, false);
            }
        }
        world.set_agreed_table(first_table(replicas));
        world.set_holds_lease(kRepairCoordinator, true);
        collect_sent_messages();
    }

    std::vector<Event<ReplicationModel>> events() const {
        Events events;
        add_deliveries(events);
        for (int i = 0; i < kMembers; ++i) {
            add_request_events(events, i);
            add_failure_events(events, i);
        }
        if (remaining.plans > 0 && world.up(kRepairCoordinator)) {
            add_event(events, "the repair coordinator receives all reports and plans",
                      [](ReplicationModel& model) { model.plan(); });
        }
        add_attempt_events(events);
        if (remaining.time_steps > 0) {
            add_event(events, "a step of time", [](ReplicationModel& model) { model.step_time(); });
        }
        return events;
    }
    std::string state() const {
        return world.state() + in_flight_state() +
               fmt::format("{}.{}.{}.{}.{}.{}.{}.{}", remaining.requests, remaining.crashes,
                           remaining.wipes, remaining.redeliveries, remaining.plans,
                           remaining.false_suspicions, remaining.lost_attempts,
                           remaining.time_steps);
    }

  private:
    void add_deliveries(Events& events) const {
        for (const WorldMessage* message : distinct_messages()) {
            if (message->to >= kMembers || world.up(message->to)) {
                add_delivery(events,
                             fmt::format("{} to {}: {}", name_of(message->from),
                                         name_of(message->to), describe(*message)),
                             *message, message->to);
            }
        }
    }
    void add_request_events(Events& events, int member) const {
        const std::string name = name_of(member);
        if (world.has_pending_writes(member)) {
            add_event(events, name + " has stored",
                      [member](ReplicationModel& model) { model.world.complete_writes(member); });
        }
        if (world.up(member) && remaining.requests > 0 && !world.has_open_request(member)) {
            add_event(events, name + " receives the non-idempotent request",
                      [member](ReplicationModel& model) { model.submit(member, 1, false); });
            add_event(events, name + " receives the idempotent request",
                      [member](ReplicationModel& model) { model.submit(member, 2, true); });
        }
    }
    void add_failure_events(Events& events, int member) const {
        const std::string name = name_of(member);
        if (world.up(member) && remaining.crashes > 0 && member != kRepairCoordinator) {
            add_event(events, name + " crashes",
                      [member](ReplicationModel& model) { model.crash(member); });
        }
        if (!world.up(member)) {
            add_event(events, name + " starts",
                      [member](ReplicationModel& model) { model.start(member); });
            if (remaining.wipes > 0) {
                add_event(events, name + " is wiped", [member](ReplicationModel& model) {
                    --model.remaining.wipes;
                    model.world.wipe(member);
                });
            }
        }
        for (int other = 0; other < kMembers; ++other) {
            if (member != other && remaining.false_suspicions > 0 && world.up(member) &&
                world.up(other)) {
                add_event(events, fmt::format("{} regards {} as gone", name, name_of(other)),
                          [member, other](ReplicationModel& model) {
                              --model.remaining.false_suspicions;
                              model.world.notify_membership(member, other, true);
                          });
            }
        }
    }
    void add_attempt_events(Events& events) const {
        for (std::size_t i = 0; i < world.attempts_in_flight().size(); ++i) {
            const std::string text =
                fmt::format("attempt {} of {}", i, name_of(world.attempts_in_flight()[i].node));
            add_event(events, text + " runs",
                      [i](ReplicationModel& model) { model.world.run_attempt(i); });
            if (remaining.lost_attempts > 0) {
                add_event(events, text + " runs and its answer is lost",
                          [i](ReplicationModel& model) { model.lose_attempt(i, true); });
                add_event(events, text + " never ran",
                          [i](ReplicationModel& model) { model.lose_attempt(i, false); });
            }
        }
    }

    void submit(int member, std::uint64_t operation, bool idempotent) {
        --remaining.requests;
        world.submit(member, operation, idempotent, kStartTime + kRequestTimeout);
    }
    // Crashes a member. All other members are notified at once.
    void crash(int member) {
        --remaining.crashes;
        world.crash(member);
        for (int other = 0; other < kMembers; ++other) {
            if (other != member) {
                world.notify_membership(other, member, true);
            }
        }
    }
    void start(int member) {
        world.start(member);
        for (int other = 0; other < kMembers; ++other) {
            world.notify_membership(other, member, false);
            world.notify_membership(member, other, !world.up(other));
        }
        world.request_table(member);
    }
    // Delivers the reports of all members to the repair coordinator and lets it plan.
    void plan() {
        --remaining.plans;
        for (int i = 0; i < kMembers; ++i) {
            world.report(i, kRepairCoordinator);
        }
        world.plan(kRepairCoordinator);
    }
    void lose_attempt(std::size_t index, bool ran) {
        --remaining.lost_attempts;
        world.lose_attempt(index, ran);
    }
    void step_time() {
        --remaining.time_steps;
        world.set_time(world.now() + kTimeStep);
        for (int i = 0; i < kMembers; ++i) {
            world.tick(i);
        }
    }
};

// Enough events for each setup.
const ReplicationEventLimits kSetupLimits{9, 9, 9, 0, 9, 9, 9, 9};

}  // namespace

SearchResult search_replication(const ReplicationScenario& scenario, int depth,
                                std::size_t max_states) {
    ReplicationModel model(scenario.replicas);
    return search_scenario(model, scenario, kSetupLimits, depth, max_states);
}

}  // namespace tideline::model_checker
