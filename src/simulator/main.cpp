// tideline_simulator_adapter: runs routing policies for the simulator. Reads batches of events from
// standard input, one JSON object per line, and writes the resulting commands of each batch to
// standard output.
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"
#include "simulator/json_fields.hpp"
#include "simulator/simulated_sidecar.hpp"

namespace tideline::simulator {
namespace {

const std::map<std::string, Outcome> kOutcomes = {{"Ok", Outcome::succeeded},
                                                  {"Failed", Outcome::failed},
                                                  {"QueueFull", Outcome::overloaded},
                                                  {"TimedOut", Outcome::timed_out},
                                                  {"ConnectError", Outcome::unreachable},
                                                  {"ResetByPeer", Outcome::broken},
                                                  {"Canceled", Outcome::cancelled},
                                                  {"Ignored", Outcome::never_sent}};
const std::map<std::string, VoteReply> kVoteReplies = {{"Ok", VoteReply::counted},
                                                       {"Ignored", VoteReply::ignored},
                                                       {"QueueFull", VoteReply::full},
                                                       {"Failed", VoteReply::failed},
                                                       {"TimedOut", VoteReply::timed_out}};
const std::map<std::string, EndpointState> kStates = {{"on", EndpointState::ready},
                                                      {"fading", EndpointState::draining},
                                                      {"off", EndpointState::removed}};
const std::map<std::string, EndpointListKind> kListKinds = {
    {"incr", EndpointListKind::changes},
    {"total", EndpointListKind::complete},
    {"warm_copy", EndpointListKind::cached}};

constexpr int kPhases = 4;  // number of values of Phase

class SimulatorAdapter {
  public:
    void handle_batch(const json& line) {
        const auto time = integer(line, "timeUs");
        if (time < last_time_) {
            throw Malformed("'timeUs' is " + std::to_string(time) + "; allowed is at least " +
                            std::to_string(last_time_) + " of the line before");
        }
        last_time_ = time;
        now_ = static_cast<double>(time) * kSecondsPerMicrosecond;
        commands_ = json::array();
        const json& events = field(line, "in");
        if (!events.is_array()) {
            throw Malformed("'in' is not a list");
        }
        for (const json& event : events) {
            if (!event.is_object() || event.size() != 1) {
                throw Malformed("an event is not an object with one key");
            }
            handle(event.begin().key(), event.begin().value());
        }
        std::cout << json::object({{"cmds", std::move(commands_)}}).dump() << '\n' << std::flush;
    }

  private:
    void handle(const std::string& name, const json& event) {
        if (name == "SHEET") {
            return store_endpoint_list(event);
        }
        const std::string id = text(event, "sidecarId");
        if (name == "LAUNCH") {
            return launch(id, event);
        }
        const auto it = sidecars_.find(id);
        if (it == sidecars_.end()) {
            throw Malformed("'" + name + "' is for an unknown sidecar '" + id + "'");
        }
        if (name == "DESTROY") {
            sidecars_.erase(it);
            return;
        }
        dispatch(it->second, name, event);
    }

    void launch(const std::string& id, const json& event) {
        const json& profile = field(event, "profileData");
        if (!profile.is_object()) {
            throw Malformed("'profileData' is not an object");
        }
        const json& seed = field(event, "entropy");
        if (!seed.is_number_integer()) {
            throw Malformed("'entropy' is not a whole number");
        }
        sidecars_.erase(id);
        SimulatedSidecar& sidecar = sidecars_.try_emplace(id, id, commands_).first->second;
        sidecar.start(profile, seed.get<std::uint64_t>(), now_);
    }

    // Dispatches an event of a running sidecar by its name in the simulator's protocol. Simulated
    // sidecars share nothing, so messages between them are ignored.
    void dispatch(SimulatedSidecar& sidecar, const std::string& name, const json& event) const {
        using Handler = void (SimulatorAdapter::*)(SimulatedSidecar&, const json&) const;
        static const std::map<std::string, Handler> handlers = {
            {"CALL", &SimulatorAdapter::request_arrived},
            {"ATTEMPT_END", &SimulatorAdapter::attempt_ended},
            {"TICK_DUE", &SimulatorAdapter::timer_fired},
            {"TARGETS", &SimulatorAdapter::endpoints_updated},
            {"STEP_NEWS", &SimulatorAdapter::release_notified},
            {"FIRST_BYTE", &SimulatorAdapter::stream_started},
            {"SAMPLED", &SimulatorAdapter::health_check_ended},
            {"DIGEST", &SimulatorAdapter::tally_received},
            {"FLAGGED", &SimulatorAdapter::answer_flagged},
            {"ABANDONED", &SimulatorAdapter::request_abandoned},
            {"NOTE_FROM", &SimulatorAdapter::ignore_event},
        };
        const auto handler = handlers.find(name);
        if (handler == handlers.end()) {
            throw Malformed("unknown event '" + name + "'");
        }
        (this->*handler->second)(sidecar, event);
    }

    void request_arrived(SimulatedSidecar& sidecar, const json& event) const {
        const RequestId request = request_id_of(event);
        const RequestClass request_class{index_or_zero(event, "type", sidecar.request_classes())};
        const TenantId tenant{static_cast<int>(integer_or(event, "realm", 0))};
        const Seconds budget =
            static_cast<double>(integer(event, "budgetUs")) * kSecondsPerMicrosecond;
        std::optional<ObjectKey> key;
        if (event.contains("resource")) {
            key = ObjectKey{static_cast<std::uint64_t>(integer(event, "resource"))};
        }
        std::optional<Seconds> work;
        if (event.contains("costUs")) {
            work = duration(event, "costUs");
        }
        sidecar.call_policy([&](RoutingPolicy& policy) {
            policy.request_arrived(now_, request, request_class, tenant, key, budget, work);
        });
    }
    void attempt_ended(SimulatedSidecar& sidecar, const json& event) const {
        const RequestId request = request_id_of(event);
        const AttemptNumber number{static_cast<int>(integer_or(event, "hop", 0))};
        const EndpointId endpoint{text(event, "pod")};
        const Outcome outcome = enum_value(event, "status", kOutcomes);
        const Seconds took = duration(event, "latencyUs");
        const bool concluded = boolean_or_false(event, "complete");
        const LoadReport load = load_of(event);
        sidecar.call_policy([&](RoutingPolicy& policy) {
            policy.attempt_ended(now_, request, number, endpoint, outcome, took, concluded, load);
        });
    }
    void timer_fired(SimulatedSidecar& sidecar, const json& event) const {
        const TimerId timer{static_cast<std::uint64_t>(integer(event, "token"))};
        sidecar.call_policy([&](RoutingPolicy& policy) { policy.timer_fired(now_, timer); });
    }
    void endpoints_updated(SimulatedSidecar& sidecar, const json& event) const {
        if (text(event, "mode") == "lost") {
            return sidecar.call_policy(
                [&](RoutingPolicy& policy) { policy.watch_lost(now_, now_, WatchLoss::ended); });
        }
        const EndpointListKind kind = enum_value(event, "mode", kListKinds);
        const auto list = lists_.find(integer_or(event, "list", 0));
        if (list == lists_.end()) {
            throw Malformed("'list' is no list that was announced by a SHEET event");
        }
        sidecar.call_policy(
            [&](RoutingPolicy& policy) { policy.endpoints_updated(now_, kind, list->second); });
    }
    // Handles a release status, the answer to a vote, or both in one event.
    void release_notified(SimulatedSidecar& sidecar, const json& event) const {
        const auto status = enum_value(event, "status", kVoteReplies);
        const bool answers_vote = integer_or(event, "sense", 0) == 1;
        if (status == VoteReply::counted) {
            const Build build{static_cast<int>(integer_or(event, "buildNo", 0))};
            const Stage stage{static_cast<int>(integer_or(event, "ring", 0))};
            const auto phase = static_cast<Phase>(index_or_zero(event, "standing", kPhases));
            const double cap = event.contains("exposure") ? number(event, "exposure") : 0;
            const Seconds age = duration(event, "behindUs");
            sidecar.call_policy([&](RoutingPolicy& policy) {
                policy.stage_announced(now_, build, stage, phase, cap, age);
            });
        }
        if (answers_vote) {
            sidecar.call_policy([&](RoutingPolicy& policy) { policy.vote_answered(now_, status); });
        }
    }
    void stream_started(SimulatedSidecar& sidecar, const json& event) const {
        const RequestId request = request_id_of(event);
        const AttemptNumber attempt{static_cast<int>(integer_or(event, "hop", 0))};
        sidecar.call_policy(
            [&](RoutingPolicy& policy) { policy.stream_started(now_, request, attempt); });
    }
    void health_check_ended(SimulatedSidecar& sidecar, const json& event) const {
        const EndpointId endpoint{text(event, "pod")};
        const Outcome outcome = enum_value(event, "status", kOutcomes);
        const Seconds took = duration(event, "latencyUs");
        const LoadReport load = load_of(event);
        sidecar.call_policy([&](RoutingPolicy& policy) {
            policy.health_check_ended(now_, endpoint, outcome, took, load);
        });
    }
    void tally_received(SimulatedSidecar& sidecar, const json& event) const {
        const Build build{static_cast<int>(integer_or(event, "buildNo", 0))};
        const RequestClass request_class{index_or_zero(event, "type", sidecar.request_classes())};
        const int count = static_cast<int>(integer_or(event, "count", 0));
        const int failed = static_cast<int>(integer_or(event, "notOk", 0));
        const Seconds mean = duration(event, "latencyUs");
        sidecar.call_policy([&](RoutingPolicy& policy) {
            policy.tally_received(now_, build, request_class, count, failed, mean);
        });
    }
    void answer_flagged(SimulatedSidecar& sidecar, const json& event) const {
        const RequestClass request_class{index_or_zero(event, "type", sidecar.request_classes())};
        const EndpointId endpoint{text(event, "pod")};
        const Seconds ago = duration(event, "behindUs");
        sidecar.call_policy([&](RoutingPolicy& policy) {
            policy.answer_flagged(now_, request_class, endpoint, ago);
        });
    }
    void request_abandoned(SimulatedSidecar& sidecar, const json& event) const {
        const RequestId request = request_id_of(event);
        sidecar.call_policy(
            [&](RoutingPolicy& policy) { policy.request_abandoned(now_, request); });
    }
    void ignore_event(SimulatedSidecar&, const json&) const {}

    static RequestId request_id_of(const json& event) {
        return RequestId{static_cast<std::uint64_t>(integer(event, "msgId"))};
    }

    static LoadReport load_of(const json& event) {
        LoadReport load;
        const auto it = event.find("serverStats");
        if (it == event.end()) {
            return load;
        }
        if (!it->is_object()) {
            throw Malformed("'serverStats' is not an object");
        }
        for (const auto& [key, value] : it->items()) {
            if (!value.is_number()) {
                throw Malformed("'serverStats." + key + "' is not a number");
            }
            load[key] = value.get<double>();
        }
        return load;
    }

    void store_endpoint_list(const json& event) {
        const json& entries = field(event, "nodesList");
        if (!entries.is_array()) {
            throw Malformed("'nodesList' is not a list");
        }
        std::vector<EndpointInfo> endpoints;
        for (const json& entry : entries) {
            EndpointInfo endpoint;
            endpoint.id = EndpointId{text(entry, "pod")};
            endpoint.state = enum_value(entry, "lifecycle", kStates);
            endpoint.location = Location{static_cast<int>(integer_or(entry, "regionPart", 0))};
            endpoint.cell = Cell{static_cast<int>(integer_or(entry, "cohort", 0))};
            endpoint.kind = static_cast<int>(integer_or(entry, "flavor", 0));
            endpoint.weight = entry.contains("share") ? number(entry, "share") : 1;
            endpoint.build =
                Build{entry.contains("runs") ? static_cast<int>(number(entry, "runs")) : 0};
            endpoint.started = duration(entry, "bootTimeUs");
            endpoints.push_back(std::move(endpoint));
        }
        lists_[integer_or(event, "list", 0)] = std::move(endpoints);
    }

    std::map<std::string, SimulatedSidecar> sidecars_;
    std::map<std::int64_t, std::vector<EndpointInfo>> lists_;
    json commands_ = json::array();
    std::int64_t last_time_ = 0;  // microseconds
    Seconds now_ = 0;
};

}  // namespace
}  // namespace tideline::simulator

int main() {
    std::ios::sync_with_stdio(false);
    tideline::simulator::SimulatorAdapter adapter;
    std::string line;
    for (long number = 1; std::getline(std::cin, line); ++number) {
        try {
            adapter.handle_batch(nlohmann::json::parse(line));
        } catch (const std::exception& error) {
            std::cerr << "tideline_simulator_adapter: line " << number << ": " << error.what()
                      << '\n';
            return 1;
        }
    }
    return 0;
}
