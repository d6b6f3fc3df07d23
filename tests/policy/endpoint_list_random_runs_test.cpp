// Random runs with a discovery service whose changes count as notified whether or not they were
// read.
#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "endpoint_list_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

namespace {

// The true state of one endpoint, which the policy does not see.
struct EndpointTruth {
    EndpointState state = EndpointState::ready;
    Seconds changes_at = 0;
    Seconds refuses_at = 0;  // while draining; until then new attempts are accepted
};

// A change that the discovery service has. It counts as notified when it was written to the
// sidecar, or a bounded time after it was made.
struct Change {
    EndpointInfo info;
    Seconds made_at = 0;
    Seconds written_at = std::numeric_limits<Seconds>::infinity();
    Seconds notified_at() const {
        return std::min(written_at, made_at + kNotifiedWithin);
    }
};

// Simulates endpoints that drain, are removed and come back as new processes, and a discovery
// service that loses its watches, refuses calls, and sends changes in time, late, or in part. The
// check uses what counts as notified; the policy knows only what it read.
class DiscoverySimulation : public RecordingHost {
  public:
    explicit DiscoverySimulation(unsigned seed) : rng_(seed) {
        for (int i = 0; i < kEndpoints; ++i) {
            const EndpointInfo info = endpoint(std::string(1, static_cast<char>('a' + i)), 1);
            list_.push_back(info);
            endpoints_[info.id].changes_at = now_ + draw(0, 20);
        }
        policy_ = std::make_unique<RoutingPolicy>(*this, bounded_settings(), seed, now_);
        policy_->endpoints_updated(now_, EndpointListKind::cached, list_);
    }
    void run(Seconds duration) {
        for (const Seconds until = now_ + duration; now_ < until;) {
            step();
        }
    }
    long sent = 0;
    long rejected = 0;

    void attempt(RequestId request, const EndpointId& id, Seconds) override {
        ++sent;
        check(id);
        in_flight_.push_back({request, id});
    }
    void reject(RequestId, Seconds) override {
        ++rejected;
    }
    void watch_endpoint_list() override {
        watch_opens_at_ = now_ + 0.05;
    }

  private:
    static constexpr int kEndpoints = 8;
    struct SentAttempt {
        RequestId request;
        EndpointId endpoint;
    };
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(rng_);
    }
    bool chance(double p) {
        return draw(0, 1) < p;
    }

    // Rule 3: an endpoint gets no new attempts once its draining or removal counts as notified for
    // longer than the grace.
    void check(const EndpointId& id) {
        const Change* last = nullptr;
        for (const Change& change : changes_) {
            if (change.info.id == id && change.notified_at() <= now_) {
                last = &change;
            }
        }
        if (!last || last->info.state == EndpointState::ready) {
            return;
        }
        CAPTURE(id.value, now_, last->made_at, last->written_at);
        REQUIRE(now_ <= last->notified_at() + kDrainGrace);
    }
    void change_endpoints() {
        for (EndpointInfo& info : list_) {
            EndpointTruth& each = endpoints_[info.id];
            if (now_ < each.changes_at) {
                continue;
            }
            switch (each.state) {
                case EndpointState::ready:
                    each.state = EndpointState::draining;
                    each.changes_at = now_ + draw(0.5, 8);
                    each.refuses_at = now_ + draw(0, 4);
                    break;
                case EndpointState::draining:
                    each.state = EndpointState::removed;
                    each.changes_at = now_ + draw(0.5, 12);
                    break;
                case EndpointState::removed:
                    each.state = EndpointState::ready;
                    each.changes_at = now_ + draw(1, 25);
                    break;
            }
            info.state = each.state;
            // Discovery has the change a little later.
            changes_.push_back({info, now_ + draw(0.05, 0.3)});
        }
    }
    // Marks the changes made until then that are still unsent as written, and returns them.
    std::vector<EndpointInfo> mark_written(Seconds by) {
        std::vector<EndpointInfo> unsent;
        for (Change& change : changes_) {
            if (change.made_at <= by && change.written_at > now_) {
                change.written_at = std::max(change.made_at, last_read_at_);
                unsent.push_back(change.info);
            }
        }
        return unsent;
    }
    // Sends the unsent changes in order; returns false if the watch is cut off in between.
    bool send_changes() {
        std::vector<EndpointInfo> unsent = mark_written(now_);
        if (!unsent.empty() && chance(0.1)) {
            policy_->endpoint_list_unreadable(now_, last_read_at_);
            return false;
        }
        if (std::exchange(full_list_due_, false)) {
            unsent = listed_endpoints();
        }
        if (!unsent.empty()) {
            policy_->endpoints_updated(now_, EndpointListKind::changes, unsent);
        }
        policy_->endpoint_list_confirmed(now_, last_read_at_);
        return true;
    }
    // Pauses the sidecar, so that it reads late what was written meanwhile. The watch may have
    // fallen silent before the pause ends, after a last heartbeat.
    void pause() {
        const Seconds duration = draw(0.1, 8);
        const Seconds silent_at = now_ + draw(0, 2 * duration);
        for (const Seconds until = now_ + duration; now_ < until;) {
            now_ += 0.02;
            change_endpoints();
        }
        if (!watching_ || now_ < silent_at) {
            return;
        }
        const std::vector<EndpointInfo> unsent = mark_written(silent_at);
        if (!unsent.empty()) {
            policy_->endpoints_updated(now_, EndpointListKind::changes, unsent);
        }
        policy_->endpoint_list_confirmed(now_, last_read_at_);
        silent_ = true;
        if (chance(0.7)) {
            discovery_down_until_ = now_ + draw(0, 25);
        }
    }
    std::vector<EndpointInfo> listed_endpoints() const {
        std::map<EndpointId, EndpointInfo> last;
        for (const EndpointInfo& info : list_) {
            last[info.id] = info;
            last[info.id].state = EndpointState::ready;
        }
        for (const Change& change : changes_) {
            if (change.made_at <= now_) {
                last[change.info.id] = change.info;
            }
        }
        std::vector<EndpointInfo> infos;
        for (const auto& [id, info] : last) {
            infos.push_back(info);
        }
        return infos;
    }
    void lose_watch(WatchLoss loss) {
        watching_ = silent_ = false;
        full_list_due_ = true;
        policy_->watch_lost(now_, now_, loss);
    }
    void keep_watch() {
        if (watching_ && chance(0.002)) {
            if (chance(0.5)) {
                discovery_down_until_ = now_ + draw(0, 25);
            }
            return lose_watch(chance(0.5) ? WatchLoss::ended : WatchLoss::silent);
        }
        const bool unsent = std::any_of(changes_.begin(), changes_.end(), [&](auto& c) {
            return c.made_at <= now_ && c.written_at > now_;
        });
        if (watching_ && !silent_ && (unsent || now_ >= heartbeat_at_)) {
            heartbeat_at_ = now_ + 2;
            if (!send_changes()) {
                lose_watch(WatchLoss::unreadable);
            }
        }
        if (watching_ && silent_ && now_ >= heartbeat_at_ + 1) {
            lose_watch(WatchLoss::silent);
        }
        if (watch_opens_at_ < 0 || now_ < watch_opens_at_) {
            return;
        }
        watch_opens_at_ = -1;
        if (now_ < discovery_down_until_) {
            return lose_watch(WatchLoss::ended);
        }
        watching_ = true;
        heartbeat_at_ = now_ + 2;
        if (!send_changes()) {
            lose_watch(WatchLoss::unreadable);
        }
    }
    // Ends each attempt in the next step, with the outcome that the state of its endpoint then
    // gives.
    void end_attempts() {
        for (const SentAttempt& each : std::exchange(in_flight_, {})) {
            EndpointTruth& at = endpoints_[each.endpoint];
            const bool refuses = at.state == EndpointState::draining && now_ >= at.refuses_at;
            const Outcome outcome = at.state == EndpointState::removed ? Outcome::unreachable
                                    : refuses                          ? Outcome::overloaded
                                                                       : Outcome::succeeded;
            policy_->attempt_ended(now_, each.request,
                                   AttemptNumber{attempt_counts_[each.request]++}, each.endpoint,
                                   outcome, 0.02, outcome == Outcome::succeeded, {});
        }
    }
    void step() {
        last_read_at_ = now_;
        now_ += 0.02;
        change_endpoints();
        if (chance(0.0015)) {
            pause();
        }
        keep_watch();
        policy_->timer_fired(now_, last_timer);
        end_attempts();
        if (chance(0.5)) {
            const RequestId request{next_request_number_++};
            policy_->request_arrived(now_, request, RequestClass{0}, TenantId{0}, {}, 1, {});
        }
    }

    std::mt19937 rng_;
    Seconds now_ = 100;
    Seconds watch_opens_at_ = -1;
    Seconds heartbeat_at_ = 0;
    Seconds discovery_down_until_ = 0;
    Seconds last_read_at_ = now_;  // what is read now arrived after that time
    bool watching_ = false;
    bool silent_ = false;
    bool full_list_due_ = true;
    std::vector<EndpointInfo> list_;
    std::map<EndpointId, EndpointTruth> endpoints_;
    std::vector<Change> changes_;
    std::vector<SentAttempt> in_flight_;
    std::map<RequestId, int> attempt_counts_;
    std::uint64_t next_request_number_ = 1;
    std::unique_ptr<RoutingPolicy> policy_;
};

}  // namespace

TEST_CASE(
    "no new attempt goes to an endpoint whose removal counts as notified, whatever becomes of the "
    "watch") {
    const auto seed = GENERATE(range(1u, 301u));
    CAPTURE(seed);
    DiscoverySimulation simulation(seed);
    simulation.run(90);
    CHECK(simulation.sent > 200);
    CHECK(simulation.sent > simulation.rejected / 4);
}
