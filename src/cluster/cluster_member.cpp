#include "cluster/cluster_member.hpp"

#include <random>

#include "cluster/state_names.hpp"
#include "net/check_invariant.hpp"

namespace tideline::cluster {
namespace {

using audit::ContentVersion;
using audit::VersionPart;

// Interval between two reviews, as a fraction of the audit's grace, and its limit.
constexpr Seconds kReviewIntervalInGraces = 0.1;
constexpr Seconds kMaxReviewInterval = 1;

// Returns an id for a new data folder. It is not drawn from the configured seed: a machine that
// lost its disk and starts with the same seed would draw the same id, and would be taken for the
// machine that still holds the lost data.
std::uint64_t new_disk_id() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

const char* name_of(VersionPart part) {
    return part == VersionPart::list ? "endpoint_list" : "release_status";
}

}  // namespace

ClusterMember::ClusterMember(net::EventLoop& loop, net::Log& log,
                             const ClusterConfig& cluster_config,
                             const std::string& sidecar_config_digest,
                             const slow_start::SlowStartSettings& slow_start_settings,
                             std::uint64_t seed)
    : loop_(loop),
      log_(log),
      started_config_(cluster_config),
      cluster_config_(cluster_config),
      sidecar_config_digest_(sidecar_config_digest),
      member_store_(cluster_config.folder, cluster_config.name, new_disk_id(), net::clock_now()),
      peer_connections_(loop, *this,
                        {cluster_config.max_connections, cluster_config.max_frame_bytes},
                        net::address_of(cluster_config.address)->host),
      audit_log_(*this, cluster_config.name, member_store_.incarnation(), member_store_.disk(),
                 member_store_.root(), {}, cluster_config.max_epochs, net::clock_now()),
      membership_(*this, cluster_config.membership,
                  Entry{cluster_config.name,
                        member_store_.incarnation(),
                        {},
                        MemberState::present,
                        {},
                        cluster_config.address,
                        cluster_config.place,
                        member_store_.disk(),
                        {},
                        0,
                        false},
                  cluster_config.seeds, seed, net::clock_now()),
      version_audit_(*this, cluster_config.version_audit, cluster_config.name, net::clock_now()),
      messenger_(membership_, state_, audit_log_, peer_connections_),
      queries_(log, membership_, version_audit_, audit_log_, heads_, messenger_,
               [this](const AuditQueries::Rows& rows) { leased_tasks_->on_audit(rows); }),
      receiver_(log, peer_connections_, membership_, version_audit_, heads_, transfers_, queries_,
                messenger_) {
    if (!peer_connections_.listen(*net::address_of(cluster_config.listen))) {
        throw std::runtime_error("listen: can't listen at " + cluster_config.listen +
                                 " for cluster members");
    }
    if (!member_store_.found().empty()) {
        log_.alarm("member store damaged: {}", member_store_.found());
    }
    if (cluster_config.planners.empty()) {
        return;
    }
    LeasedTasks::Owner& owner = *this;
    leased_tasks_ = std::make_unique<LeasedTasks>(loop, log, owner, cluster_config,
                                                  member_store_.incarnation(), slow_start_settings);
    receiver_.set_leased_tasks(leased_tasks_.get());
    if (!cluster_config.replication.enabled) {
        return;
    }
    ReplicationAgent::Owner& replication_owner = *this;
    replication_agent_ = std::make_unique<ReplicationAgent>(
        loop, log, replication_owner, cluster_config, member_store_.incarnation(), new_disk_id());
    receiver_.set_replication(replication_agent_.get());
}

ClusterMember::~ClusterMember() {
    loop_.timers.cancel(membership_timer_);
    loop_.timers.cancel(review_timer_);
}

void ClusterMember::begin(net::ObservedSidecar& sidecar) {
    sidecar_ = &sidecar;
    began_ = true;
    publish_state();
    schedule_membership_tick();
    review_versions();
    if (leased_tasks_) {
        leased_tasks_->begin();
    }
    if (replication_agent_) {
        replication_agent_->begin(sidecar);
    }
    log_.line("cluster member started: name={} address={} incarnation={} folder={} seeds={}",
              cluster_config_.name.value, cluster_config_.address,
              member_store_.incarnation().value, member_store_.disk().value ? "yes" : "no",
              cluster_config_.seeds.size());
}

void ClusterMember::apply_config(const ClusterConfig& new_config) {
    membership_.set_settings(new_config.membership, new_config.seeds);
    version_audit_.set_settings(new_config.version_audit);
    peer_connections_.set_bounds({new_config.max_connections, new_config.max_frame_bytes});
    cluster_config_ = new_config;
    publish_state();
    log_.line("cluster configuration reloaded: restart_needed={}",
              needs_restart(started_config_, new_config) ? "yes" : "no");
}

void ClusterMember::leave() {
    if (replication_agent_) {
        replication_agent_->leave();
    }
    if (leased_tasks_) {
        leased_tasks_->leave();
    }
    audit_log_.seal_epoch(net::clock_now());
    membership_.leave(net::clock_now());
}

// --- State that this sidecar acts on
bool ClusterMember::accepts_revision(std::int64_t revision) {
    return transfers_.accepts(VersionPart::list,
                              static_cast<std::uint64_t>(std::max<std::int64_t>(0, revision)));
}

void ClusterMember::endpoint_list_applied(std::int64_t revision, EndpointListKind kind,
                                          const std::vector<EndpointInfo>& endpoints,
                                          const std::vector<net::Address>& addresses) {
    if (kind != EndpointListKind::changes) {
        clear_endpoints();
    }
    std::uint64_t drains = 0;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const bool drains_now = state_.update_endpoint(endpoints[i], addresses[i]);
        drains += drains_now ? 1 : 0;
        if (leased_tasks_) {
            const bool ready = endpoints[i].state == EndpointState::ready;
            leased_tasks_->endpoint_updated(endpoints[i].id, ready, endpoints[i].started);
        }
    }
    if (leased_tasks_) {
        leased_tasks_->set_ready_endpoint_count(state_.count_ready_endpoints());
    }
    if (kind == EndpointListKind::changes) {
        audit_log_.add_drains(drains);
    }
    state_.set_list_revision(revision);
    version_audit_.set_own_version(net::clock_now(), VersionPart::list,
                                   state_.version(VersionPart::list));
    publish_state();
}

void ClusterMember::clear_endpoints() {
    if (leased_tasks_) {
        for (const auto& [id, endpoint] : state_.endpoints()) {
            leased_tasks_->endpoint_updated(id, false, 0);
        }
    }
    state_.clear_endpoints();
}

bool ClusterMember::release_status_received(Build build, Stage stage, Phase phase, double cap,
                                            Seconds age) {
    if (!transfers_.accepts(VersionPart::release, rank_of(build, stage, phase).value)) {
        return false;
    }
    state_.set_release({build, stage, phase, cap, net::clock_now() - age});
    version_audit_.set_own_version(net::clock_now(), VersionPart::release,
                                   state_.version(VersionPart::release));
    publish_state();
    return true;
}

void ClusterMember::attempted(const EndpointId& endpoint) {
    if (leased_tasks_) {
        leased_tasks_->add_attempt();
    }
    audit_log_.add_attempt(state_.runs_trial_build(endpoint));
}

void ClusterMember::publish_state() {
    if (!began_) {
        return;
    }
    audit::ActingState acting;
    acting.version = {ListRevision{state_.version(VersionPart::list).rank},
                      ReleaseRank{state_.version(VersionPart::release).rank}};
    acting.build = state_.release().build;
    acting.stage = state_.release().stage;
    acting.phase = state_.release().phase;
    acting.cap = state_.release().cap;
    acting.trial_participation = trial_participation_;
    acting.config_digest = sidecar_config_digest_ + cluster_config_.digest;
    acting.program = TIDELINE_VERSION;
    audit_log_.set_acting_state(net::clock_now(), acting);
    membership_.set_own_versions(net::clock_now(), acting.version);
}

void ClusterMember::on_epoch_sealed(const audit::Epoch& epoch) {
    if (!member_store_.append_epoch(epoch) && !std::exchange(epoch_store_failed_, true)) {
        log_.alarm("audit epochs not written: folder={}", cluster_config_.folder);
    }
    // Deferred, because the audit log is still sealing this epoch and every message carries the
    // newest seal.
    if (replication_agent_) {
        loop_.timers.soon([this, epoch] { replication_agent_->replicate_epoch(epoch); });
    }
}

// --- Membership and version audit
void ClusterMember::on_member_changed(const Entry& entry, MemberState before,
                                      bool new_incarnation) {
    const Seconds now = net::clock_now();
    if (entry.name == cluster_config_.name) {
        version_audit_.on_own_exclusion(now, entry.excluded);
        log_.line("{}: name={} by=ruling", entry.excluded ? "member excluded" : "member readmitted",
                  entry.name.value);
        return;
    }
    version_audit_.on_gossip(now, entry);
    if (replication_agent_) {
        replication_agent_->update_member(entry);
    }
    if (new_incarnation) {
        log_.line("member joined: name={} address={} incarnation={}", entry.name.value,
                  entry.address, entry.incarnation.value);
    } else if (entry.state != before) {
        const bool suspected = entry.state == MemberState::suspected;
        log_.line("member {}: name={}{}", cluster::name_of(entry.state), entry.name.value,
                  suspected ? " accuser=" + entry.suspected_by.value : "");
    }
}

void ClusterMember::request_versions(const Name& of) {
    // The answer to a ping carries the versions that its sender acts on. The membership itself
    // never uses this ping id.
    messenger_.ping(of, PingId{0}, {});
}

void ClusterMember::request_transfer(const Name& from, VersionPart part) {
    messenger_.request_state(from, part);
    log_.line("state transfer requested: part={} from={}", name_of(part), from.value);
}

void ClusterMember::gossip_exclusion(const Name& name, const Incarnation& incarnation,
                                     bool excluded) {
    log_.line("member exclusion ruled: name={} excluded={}", name.value, excluded ? "yes" : "no");
    membership_.rule_on_exclusion(net::clock_now(), name, incarnation, excluded);
}

void ClusterMember::trial_participation(TrialParticipation trial_participation) {
    if (trial_participation > trial_participation_) {
        log_.alarm("trial participation changed: value='{}'",
                   cluster::name_of(trial_participation));
    } else {
        log_.line("trial participation changed: value='{}'", cluster::name_of(trial_participation));
    }
    trial_participation_ = trial_participation;
    // Deferred, because the cores must not be called back from within their own calls.
    loop_.timers.soon([this] {
        if (sidecar_) {
            sidecar_->set_trial_participation(trial_participation_);
        }
        publish_state();
    });
}

// --- State transfer
void ClusterMember::apply_version(VersionPart part, const ContentVersion& version) {
    // Deferred, because the sidecar calls back into the version audit, which is still executing a
    // call.
    loop_.timers.soon([this, part, version] { adopt_transfer(part, version); });
}

void ClusterMember::adopt_transfer(VersionPart part, const ContentVersion& version) {
    if (!sidecar_) {
        return;
    }
    const auto transfer = transfers_.take(part, version);
    if (!transfer || state_.version(part).rank > version.rank) {
        return;  // replaced by a later transfer, or this member's own source was faster
    }
    transfers_.set_adopted(part, version.rank);
    log_.line("state transfer adopted: part={} rank={}", name_of(part), version.rank);
    if (part == VersionPart::release) {
        const ReleaseStatus release = release_from(transfer->news());
        return sidecar_->apply_stage(release.build, release.stage, release.phase, release.cap,
                                     std::max(0.0, net::clock_now() - release.since));
    }
    const TransferredList list = list_from(*transfer, state_.endpoints());
    sidecar_->apply_endpoint_list(static_cast<std::int64_t>(version.rank), list.endpoints,
                                  list.addresses);
}

// --- PeerConnections::Owner
void ClusterMember::on_message(LinkId link, const wire::Word& message) {
    if (began_ && receiver_.receive(link, message)) {
        schedule_membership_tick();
    }
}

void ClusterMember::on_unreachable(const Name& name) {
    membership_.unreachable(net::clock_now(), name);
    schedule_membership_tick();
}

// --- Deadlines
void ClusterMember::schedule_membership_tick() {
    loop_.timers.cancel(membership_timer_);
    membership_timer_ = loop_.timers.at(membership_.due(), [this] {
        membership_timer_ = net::Timers::kNone;
        membership_.tick(net::clock_now());
        schedule_membership_tick();
    });
}

void ClusterMember::review_versions() {
    version_audit_.tick(net::clock_now());
    queries_.expire_requests();
    review_timer_ = loop_.timers.at(
        net::clock_now() + std::min(kMaxReviewInterval,
                                    kReviewIntervalInGraces * cluster_config_.version_audit.grace),
        [this] { review_versions(); });
}

// --- LeasedTasks::Owner
std::vector<Name> ClusterMember::present_members() const {
    std::vector<Name> names;
    for (const auto& [name, entry] : membership_.others()) {
        if (entry.state == MemberState::present) {
            names.push_back(name);
        }
    }
    return names;
}

void ClusterMember::set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                                         Seconds valid) {
    loop_.timers.soon([this, endpoint, max_attempts, valid] {
        if (sidecar_) {
            sidecar_->set_slow_start_limit(endpoint, max_attempts, valid);
        }
    });
}

}  // namespace tideline::cluster
