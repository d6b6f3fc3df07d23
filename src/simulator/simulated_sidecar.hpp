// A simulated sidecar: a routing policy whose actions are written as JSON commands.
#pragma once

#include <cmath>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "policy/routing_policy.hpp"
#include "settings_from_json.hpp"

namespace tideline::simulator {

using nlohmann::json;

// Appends its commands to `commands`, which must outlive the object.
class SimulatedSidecar : public Host {
  public:
    SimulatedSidecar(std::string name, json& commands)
        : name_(std::move(name)), commands_(commands) {}

    void start(const json& profile, std::uint64_t seed, Seconds now) {
        const Settings settings = settings_from_json(profile);
        if (const auto it = settings.find("operations.count"); it != settings.end()) {
            request_classes_ = static_cast<int>(std::get<double>(it->second));
        }
        run_guarded([&] { policy_ = std::make_unique<RoutingPolicy>(*this, settings, seed, now); });
    }
    // Calls `call`. An exception of the policy ends this sidecar's simulation with its text.
    template <class Call>
    void run_guarded(Call call) {
        if (failed_) {
            return;
        }
        try {
            call();
        } catch (const std::exception& error) {
            failed_ = true;
            add_command("FATAL", {{"bodyText", error.what()}});
        }
    }
    template <class Call>
    void call_policy(Call call) {
        run_guarded([&] { call(*policy_); });
    }

    void attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) override {
        add_command("PASS_ON", {{"msgId", request.value},
                                {"pod", endpoint.value},
                                {"stopAtUs", to_microseconds(stop_at)}});
    }
    void reject(RequestId request, Seconds retry_after) override {
        add_command("TURN_AWAY",
                    {{"msgId", request.value}, {"holdOffUs", to_microseconds(retry_after)}});
    }
    void fail(RequestId request) override {
        add_command("SURRENDER", {{"msgId", request.value}});
    }
    void send_health_check(const EndpointId& endpoint) override {
        add_command("TOUCH", {{"pod", endpoint.value}});
    }
    void watch_endpoint_list() override {
        add_command("FOLLOW", {{"enable", true}});
    }
    void vote(Build build, Stage stage, Vote vote) override {
        add_command(
            "VERDICT",
            {{"buildNo", build.value}, {"ring", stage.value}, {"sense", static_cast<int>(vote)}});
    }
    void set_timer(Seconds after, TimerId timer) override {
        add_command("SET_ALARM", {{"offsetUs", to_microseconds(after)}, {"token", timer.value}});
    }
    void log_event(const std::string& line) override {
        add_command("WRITE_LOG", {{"bodyText", line}});
    }

    int request_classes() const {
        return request_classes_;
    }

  private:
    static std::int64_t to_microseconds(Seconds time) {
        return std::llround(time * 1e6);
    }
    void add_command(const char* name, json fields) {
        fields["sidecarId"] = name_;
        commands_.push_back(json::object({{name, std::move(fields)}}));
    }

    std::string name_;
    json& commands_;
    std::unique_ptr<RoutingPolicy> policy_;
    int request_classes_ = 0;
    bool failed_ = false;
};

}  // namespace tideline::simulator
