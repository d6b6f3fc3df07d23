// A simulated rollout that computes a digest of all decisions of the policy.
#pragma once

#include <algorithm>
#include <map>
#include <random>

#include "decision_digest.hpp"
#include "policy_fixture.hpp"

namespace tideline::test {

// A rollout over steady endpoints, so that the judge gets evidence: builds 1 and 2 in a trial that
// advances, with faults of the new build, of one endpoint, or of all.
class Rollout : public Host {
  public:
    explicit Rollout(unsigned seed)
        : rng_(seed + 2000000), policy_(*this, draw_settings(), seed, now_) {
        failing_class_index_ = pick(3);
        failing_share_ = 0.05 * pick(8);
        slowdown_factor_ = 1 + 0.5 * pick(5);
        slows_all_ = chance(0.2);
        flagged_share_ = chance(0.3) ? 0.1 : 0;
        broken_endpoint_ = chance(0.3) ? pick(kEndpoints) : -1;
        requests_per_step_ = 1 + pick(4);
        pauses_ = chance(0.3);
    }
    std::uint64_t run() {
        std::vector<EndpointInfo> infos;
        for (int i = 0; i < kEndpoints; ++i) {
            const bool is_new_build = i >= kEndpoints / 2;
            infos.push_back(endpoint(name_of(i), is_new_build ? 2 : 1,
                                     is_new_build && chance(0.5) ? now_ - 0.7 * pick(4) : 0,
                                     i % 2));
        }
        policy_.endpoints_updated(now_, EndpointListKind::complete, infos);
        policy_.endpoint_list_confirmed(now_, now_);
        policy_.stage_announced(now_, Build{1}, Stage{2}, Phase::released, 1, 30);
        for (int i = 0; i < kRolloutSteps; ++i)
            step(i);
        return digest_.value();
    }

    void attempt(RequestId request, const EndpointId& id, Seconds stop_at) override {
        add('d', request.value, id.value, stop_at);
        OpenRequest& open = open_[request];
        open.endpoint = id;
        open.sent = now_;
        ++open.attempts;
        const int endpoint_index = id.value[0] - 'a';
        const bool is_new = endpoint_index >= kEndpoints / 2;
        const bool slow = (is_new || slows_all_) && trial_started_;
        open.attempt_ends_at = now_ + (0.03 + 0.002 * pick(30)) * (slow ? slowdown_factor_ : 1);
        const double share =
            endpoint_index == broken_endpoint_ ? 0.9
            : is_new && (open.class_index == failing_class_index_ || requests_per_step_ > 3)
                ? failing_share_
                : 0.01;
        open.outcome = chance(share) ? Outcome::failed : Outcome::succeeded;
        open.flagged = is_new && chance(flagged_share_);
    }
    void reject(RequestId request, Seconds retry_after) override {
        add('t', request.value, retry_after);
        open_.erase(request);
    }
    void fail(RequestId request) override {
        add('e', request.value);
        open_.erase(request);
    }
    void send_health_check(const EndpointId& id) override {
        add('p', id.value);
        health_checks_.push_back(id);
    }
    void watch_endpoint_list() override {
        add('f');
    }
    void vote(Build build, Stage at, Vote vote) override {
        add('v', build.value, at.value, static_cast<int>(vote));
        vote_answer_at_ = now_ + 0.05;
    }
    void set_timer(Seconds after, TimerId id) override {
        add('a', after, id.value);
        timers_.emplace_back(now_ + after, id);
    }
    void build_marked(Build build, Stage at) override {
        add('m', build.value, at.value);
    }
    void log_event(const std::string&) override {
        add('n');
    }

  private:
    static constexpr int kEndpoints = 8;
    static constexpr int kRolloutSteps = 700;
    static constexpr Seconds kStep = 0.02;
    static constexpr int kPauseStep = 350;
    static constexpr Seconds kPauseDuration = 1;
    static constexpr Seconds kTrialFrom = 54;
    static constexpr Seconds kStageLength = 3;
    struct OpenRequest {
        int class_index = 0;
        int attempts = 0;
        EndpointId endpoint;
        Seconds sent = 0;
        Seconds attempt_ends_at = 0;
        Outcome outcome = Outcome::succeeded;
        bool flagged = false;
    };

    int pick(int n) {
        return static_cast<int>(rng_() % static_cast<unsigned>(n));
    }
    bool chance(double p) {
        return static_cast<double>(rng_() % 10000) < p * 10000;
    }
    static std::string name_of(int endpoint_index) {
        return {static_cast<char>('a' + endpoint_index)};
    }
    template <class... Parts>
    void add(Parts... parts) {
        digest_.add(now_, parts...);
    }

    Settings draw_settings() {
        Settings settings = basic_settings();
        settings["operations.count"] = 3.0;
        for (int class_index = 1; class_index < 3; ++class_index) {
            const std::string at = "operations." + std::to_string(class_index);
            settings[at + ".slo_time"] = 0.4;
            settings[at + ".time_limit"] = 2.0;
            settings[at + ".effect"] = std::string("idempotent");
        }
        const double fleets[] = {1, 3, 30, 300};
        settings["sidecars"] = fleets[pick(4)];
        settings["release.back_votes"] = 1.0 + pick(4);
        settings["release.caps.0"] = 0.2;
        settings["release.counted_by"] = std::string(pick(2) ? "operation" : "all");
        settings["release.moved_by"] = std::string(pick(3) ? "count" : "clock");
        settings["release.flagged_share"] = 0.15 * pick(2);
        settings["release.one_way_keys"] = 1.0 * pick(2);
        settings["allowed.probes"] = 1.0;
        settings["list.told"] = std::string("unasked");
        return settings;
    }
    void step(int number) {
        now_ += number == kPauseStep && pauses_ ? kPauseDuration : kStep;
        if (number % 25 == 0)
            policy_.endpoint_list_confirmed(now_, now_);
        const auto due = std::partition(timers_.begin(), timers_.end(),
                                        [&](const auto& each) { return each.first > now_; });
        const std::vector<std::pair<Seconds, TimerId>> due_timers(due, timers_.end());
        timers_.erase(due, timers_.end());
        for (const auto& [at, id] : due_timers)
            policy_.timer_fired(now_, id);
        announce_next_stage();
        end_attempts();
        for (const EndpointId& id : std::exchange(health_checks_, {}))
            policy_.health_check_ended(now_, id, chance(0.8) ? Outcome::succeeded : Outcome::failed,
                                       0.01, {});
        if (chance(0.05)) {
            const Build build{1 + pick(2)};
            const int failed =
                pick(build.value == 2 ? 1 + static_cast<int>(failing_share_ * 30) : 2);
            policy_.tally_received(now_, build, RequestClass{pick(3)}, 30, failed, 0.1);
        }
        if (vote_answer_at_ > 0 && now_ > vote_answer_at_) {
            vote_answer_at_ = 0;
            policy_.vote_answered(now_, chance(0.8) ? VoteReply::counted : VoteReply::failed);
        }
        for (int i = pick(2 * requests_per_step_); i > 0; --i) {
            const RequestId request{next_++};
            open_[request].class_index = pick(3);
            policy_.request_arrived(now_, request, RequestClass{open_[request].class_index},
                                    TenantId{0}, ObjectKey{rng_() % 20}, 2, {});
        }
    }
    void announce_next_stage() {
        if (now_ < kTrialFrom)
            return;
        const int stage = static_cast<int>((now_ - kTrialFrom) / kStageLength);
        if (stage == stage_)
            return;
        stage_ = stage;
        trial_started_ = true;
        const double caps[] = {0.2, 0.5, 1};
        if (stage < 3)
            policy_.stage_announced(now_, Build{2}, Stage{stage}, Phase::trial, caps[stage], 0);
        else
            policy_.stage_announced(now_, Build{2}, Stage{2}, Phase::released, 1, 0);
    }
    void end_attempts() {
        std::vector<RequestId> ended;
        for (const auto& [request, open] : open_)
            if (open.attempts > 0 && open.attempt_ends_at <= now_)
                ended.push_back(request);
        for (const RequestId request : ended) {
            const OpenRequest open = open_[request];
            const bool concluded = open.outcome == Outcome::succeeded;
            if (concluded)
                open_.erase(request);
            else
                open_[request].attempt_ends_at = 1e18;
            policy_.attempt_ended(now_, request, AttemptNumber{open.attempts - 1}, open.endpoint,
                                  open.outcome, now_ - open.sent, concluded, {});
            if (open.flagged)
                policy_.answer_flagged(now_, RequestClass{open.class_index}, open.endpoint,
                                       now_ - open.sent);
        }
    }

    std::mt19937 rng_;
    Seconds now_ = 50;
    Digest digest_;
    std::map<RequestId, OpenRequest> open_;
    std::vector<std::pair<Seconds, TimerId>> timers_;
    std::vector<EndpointId> health_checks_;
    Seconds vote_answer_at_ = 0;
    // Declared after the members that its constructor uses through this host.
    RoutingPolicy policy_;
    std::uint64_t next_ = 1;
    int failing_class_index_ = 0;
    int broken_endpoint_ = -1;
    int requests_per_step_ = 1;
    int stage_ = -1;
    double failing_share_ = 0;
    double slowdown_factor_ = 1;
    double flagged_share_ = 0;
    bool slows_all_ = false;
    bool pauses_ = false;
    bool trial_started_ = false;
};

}  // namespace tideline::test
