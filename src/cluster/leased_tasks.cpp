#include "cluster/leased_tasks.hpp"

#include <limits>
#include <utility>

namespace tideline::cluster {
namespace {

// The names are part of the wire format and of stored tables.
const lease::LeaseName kFleetAuditLease{"roll-call"};
const lease::LeaseName kSlowStartLease{"warming"};
const lease::LeaseName kRepairLease{"copies"};
// Separates the keys of repair alarms from those of the fleet audit in alarm_texts_.
constexpr const char* kRepairAlarmPrefix = "replication ";

slow_start::SlowStartSettings with_interval(slow_start::SlowStartSettings settings,
                                            Seconds interval) {
    settings.interval = interval;
    return settings;
}

}  // namespace

LeasedTasks::LeasedTasks(net::EventLoop& loop, net::Log& log, Owner& owner,
                         const ClusterConfig& cluster_config, const Incarnation& incarnation,
                         const slow_start::SlowStartSettings& settings)
    : loop_(loop),
      log_(log),
      owner_(owner),
      self_(cluster_config.name),
      runs_audit_(cluster_config.audit_interval > 0),
      allocates_slow_start_(cluster_config.slow_start_interval > 0),
      replicates_(cluster_config.replication.enabled),
      window_(settings.window),
      planner_client_(loop, log, *this, cluster_config.planners, cluster_config.lease_client,
                      cluster_config.address, {cluster_config.name, incarnation}),
      fleet_audit_(*this, cluster_config.audit_interval),
      slow_start_coordinator_(*this, with_interval(settings, cluster_config.slow_start_interval)) {}
LeasedTasks::~LeasedTasks() {
    loop_.timers.cancel(tick_timer_);
}

void LeasedTasks::begin() {
    if (runs_audit_) {
        planner_client_.acquire(kFleetAuditLease);
    }
    if (allocates_slow_start_) {
        planner_client_.acquire(kSlowStartLease);
    }
    if (replicates_) {
        planner_client_.acquire(kRepairLease);
    }
    planner_client_.watch();
    schedule_tick();
}
void LeasedTasks::leave() {
    planner_client_.release_all();
}

void LeasedTasks::on_lease_acquired(const lease::LeaseName& lease, lease::FencingToken token) {
    // The lease may have been lost again before this deferred call.
    if (planner_client_.may_act(lease) != token) {
        return;
    }
    const Seconds now = net::clock_now();
    if (lease == kFleetAuditLease) {
        fleet_audit_.lease_acquired(now, std::nullopt);
        planner_client_.request_raised_alarms(kFleetAuditLease);
    } else if (lease == kSlowStartLease) {
        slow_start_coordinator_.lease_acquired(now);
    } else if (lease == kRepairLease) {
        owner_.on_repair_lease(true);
    }
    schedule_tick();
}
void LeasedTasks::on_lease_lost(const lease::LeaseName& lease, lease::FencingToken) {
    if (planner_client_.may_act(lease)) {
        return;  // the lease has been acquired again
    }
    if (lease == kFleetAuditLease) {
        fleet_audit_.lease_lost();
    }
    if (lease == kSlowStartLease) {
        slow_start_coordinator_.lease_lost();
    }
    if (lease == kRepairLease) {
        owner_.on_repair_lease(false);
    }
    schedule_tick();
}

// --- Fleet audit
void LeasedTasks::request_audit() {
    if (!planner_client_.may_act(kFleetAuditLease)) {
        return;
    }
    owner_.request_audit();
}
void LeasedTasks::on_audit(const std::vector<wire::Row>& rows) {
    std::vector<audit::MemberFinding> findings;
    findings.reserve(rows.size());
    for (const wire::Row& row : rows) {
        findings.push_back({Name{row.entry().name()}, row.state(), row.fault()});
    }
    if (!fleet_audit_.knows_raised_alarms()) {
        planner_client_.request_raised_alarms(kFleetAuditLease);
    }
    fleet_audit_.on_audit(net::clock_now(), findings);
    schedule_tick();
}
void LeasedTasks::raise_alarm(const std::string& key, const std::string& text) {
    alarm_texts_[key] = text;
    planner_client_.set_alarm(kFleetAuditLease, true, key, text);
}
void LeasedTasks::clear_alarm(const std::string& key) {
    planner_client_.set_alarm(kFleetAuditLease, false, key, {});
}
void LeasedTasks::on_alarm_committed(const lease::LeaseName& lease, const std::string& key,
                                     bool raised, bool changed) {
    if (lease == kRepairLease) {
        if (raised && changed) {
            log_.alarm("replication: {}", alarm_texts_[kRepairAlarmPrefix + key]);
        }
        if (!raised && changed) {
            log_.line("replication alarm cleared: key=\"{}\"", key);
        }
        return;
    }
    fleet_audit_.on_alarm_committed(key, raised);
    // Only the member that changed the alarm logs it, so that the cluster logs it once.
    if (raised && changed) {
        log_.alarm("fleet audit: {}", alarm_texts_[key]);
    }
    if (!raised && changed) {
        log_.line("fleet audit alarm cleared: key=\"{}\"", key);
    }
    if (!raised) {
        alarm_texts_.erase(key);
    }
}
void LeasedTasks::on_raised_alarms(const lease::LeaseName&, const std::set<std::string>& keys) {
    fleet_audit_.set_raised_alarms(keys);
}

// From now on the messages of former holders are rejected, even before the new holder sends any.
void LeasedTasks::on_holder_changed(const lease::LeaseName& lease, const Name& member,
                                    lease::FencingToken token, std::uint64_t number) {
    if (token > lease::FencingToken{}) {
        fencing_check_.passes(lease, token);
    }
    if (lease != kRepairLease || !replicates_) {
        return;
    }
    repair_coordinator_ = member;
    owner_.on_replica_table_version(number);
}

// --- Replication
void LeasedTasks::write_table(std::uint64_t number, const std::string& bytes) {
    planner_client_.write_document(kRepairLease, number, bytes);
}
void LeasedTasks::read_table() {
    planner_client_.request_document(kRepairLease);
}
void LeasedTasks::on_document_written(const lease::LeaseName& lease, std::uint64_t, bool done) {
    if (lease == kRepairLease) {
        owner_.on_replica_table_written(done);
    }
}
void LeasedTasks::on_document_read(const lease::LeaseName& lease, std::uint64_t number,
                                   const std::string& bytes) {
    if (lease == kRepairLease) {
        owner_.on_replica_table_read(number, bytes);
    }
}
void LeasedTasks::set_replication_alarm(bool raised, const std::string& key,
                                        const std::string& text) {
    alarm_texts_[kRepairAlarmPrefix + key] = text;
    planner_client_.set_alarm(kRepairLease, raised, key, text);
}

// --- Slow start
void LeasedTasks::endpoint_updated(const EndpointId& endpoint, bool ready, Seconds started) {
    if (ready && started > 0) {
        slow_start_coordinator_.endpoint_started(endpoint, started);
    } else {
        slow_start_coordinator_.endpoint_removed(endpoint);
    }
}
void LeasedTasks::set_ready_endpoint_count(std::size_t count) {
    slow_start_coordinator_.ready_endpoints(count);
    schedule_tick();
}
void LeasedTasks::add_attempt() {
    recent_attempts_.add(net::clock_now(), window_);
}
double LeasedTasks::recent_attempts() const {
    return recent_attempts_.since(net::clock_now() - window_);
}
void LeasedTasks::allocate(const Name& member, const EndpointId& endpoint, double max_attempts,
                           Seconds valid) {
    if (member == self_) {
        return owner_.set_slow_start_limit(endpoint, max_attempts, valid);
    }
    wire::PodPace& limit = *allocations_[member].add_pods();
    limit.set_pod(endpoint.value);
    limit.set_most(max_attempts);
    limit.set_valid(valid);
}
void LeasedTasks::allocate_slow_start() {
    const Seconds now = net::clock_now();
    slow_start_coordinator_.receive_recent_attempts(now, self_, recent_attempts());
    slow_start_coordinator_.tick(now);
    // The lease is checked right before the messages are sent, which carry its fencing token.
    // Members without a limit get a message as well, which asks them for their recent attempts.
    const auto token = planner_client_.may_act(kSlowStartLease);
    if (token && std::exchange(logged_token_, *token) != *token) {
        log_.line("slow-start limits allocated: token={}", token->value);
    }
    if (token) {
        for (const Name& member : owner_.present_members()) {
            wire::Paces& limits = allocations_[member];
            limits.set_fence(token->value);
            owner_.send_slow_start_limits(member, limits);
        }
    }
    allocations_.clear();
}
bool LeasedTasks::receive_slow_start_limits(const Name&, const wire::Paces& limits) {
    if (!fencing_check_.passes(kSlowStartLease, lease::FencingToken{limits.fence()})) {
        log_.line("slow-start limits rejected: token={} newest_token={}", limits.fence(),
                  fencing_check_.newest(kSlowStartLease).value);
        return false;
    }
    for (const wire::PodPace& limit : limits.pods()) {
        if (limit.most() >= 0 && limit.valid() >= 0) {
            owner_.set_slow_start_limit(EndpointId{limit.pod()}, limit.most(), limit.valid());
        }
    }
    return true;
}
void LeasedTasks::receive_recent_attempts(const Name& member, double attempts) {
    if (attempts >= 0) {
        slow_start_coordinator_.receive_recent_attempts(net::clock_now(), member, attempts);
    }
}

void LeasedTasks::schedule_tick() {
    loop_.timers.cancel(tick_timer_);
    const Seconds due = std::min(fleet_audit_.due(), slow_start_coordinator_.due());
    if (due == std::numeric_limits<double>::infinity()) {
        return;
    }
    tick_timer_ = loop_.timers.at(due, [this] {
        tick_timer_ = net::Timers::kNone;
        const Seconds now = net::clock_now();
        fleet_audit_.tick(now);
        if (now >= slow_start_coordinator_.due()) {
            allocate_slow_start();
        }
        schedule_tick();
    });
}

}  // namespace tideline::cluster
