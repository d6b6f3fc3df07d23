#include "planner/planner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "lease/clock.hpp"

namespace tideline::planner {
namespace {

using lease::boottime_now;

// The delay before a cluster is founded. By then other planners have reported whether they belong
// to a cluster already.
constexpr Seconds kFoundingDelay = 1.5;

}  // namespace

Planner::Planner(net::EventLoop& loop, net::Log& log, const PlannerConfig& planner_config,
                 bool founds_cluster, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      planner_config_(planner_config),
      raft_storage_(planner_config.folder, planner_config.name, seed | 1),
      peer_connections_(loop, *this,
                        {planner_config.max_connections, planner_config.max_frame_bytes},
                        net::address_of(planner_config.address)->host),
      cluster_(raft_storage_.cluster()),
      founds_cluster_(founds_cluster) {
    if (founds_cluster && cluster_.value != 0) {
        throw std::runtime_error(fmt::format(
            "{} belongs to a cluster already: start it without --found", planner_config.folder));
    }
    if (!peer_connections_.listen(*net::address_of(planner_config.listen))) {
        throw std::runtime_error("listen: can't listen at " + planner_config.listen +
                                 " for planners and members");
    }
    if (!founds_cluster) {
        start_core(raft_storage_.persistent_state());
    }
}

Planner::~Planner() {
    for (auto* timer : {&tick_timer_, &write_timer_, &batch_timer_, &announce_timer_}) {
        loop_.timers.cancel(*timer);
    }
}

void Planner::start_core(raft::PersistentState state) {
    const PlannerCoreSettings settings{planner_config_.raft, planner_config_.leases,
                                       planner_config_.snapshot_after_entries};
    PlannerCoreHost& host = *this;
    planner_core_ = std::make_unique<PlannerCore>(host, settings, self(), std::move(state),
                                                  raft_storage_.disk().value, boottime_now());
    planner_core_->set_unix_offset(net::wall_time() - boottime_now());
}

void Planner::begin() {
    log_.line("planner: started: name={} address={} {}", planner_config_.name.value,
              planner_config_.address,
              founds_cluster_ ? "founding a cluster"
              : cluster_.value > 0
                  ? fmt::format("cluster={:016x} last_log_index={}", cluster_.value,
                                planner_core_->raft().last_log_index().value)
                  : "no cluster yet: announcing itself to the other planners");
    if (founds_cluster_) {
        loop_.timers.at(net::clock_now() + kFoundingDelay, [this] { found_cluster(); });
    }
    announce();
    schedule_tick();
}

void Planner::found_cluster() {
    if (!fatal_error_.empty()) {
        return;
    }
    cluster_ = {raft_storage_.disk().value ^ static_cast<std::uint64_t>(net::wall_time() * 1e6)};
    const raft::PersistentState initial_state =
        PlannerCore::initial_state(self(), planner_config_.name, planner_config_.address);
    try {
        raft::PersistRequest request;
        request.vote_state = initial_state.vote_state;
        request.snapshot = initial_state.snapshot;
        raft_storage_.join_cluster(cluster_, request);
    } catch (const std::exception& error) {
        fatal_error_ = error.what();
        return;
    }
    start_core(initial_state);
    log_.line("planner: cluster founded: cluster={:016x}", cluster_.value);
    schedule_tick();
}

void Planner::persist(raft::PersistId id, const raft::PersistRequest& request) {
    pending_writes_.push_back(request);
    last_persist_id_ = id;
    // All requests of one iteration of the event loop are written in one transaction.
    if (write_timer_ == net::Timers::kNone) {
        write_timer_ = loop_.timers.soon([this] { write_to_disk(); });
    }
}

void Planner::write_to_disk() {
    write_timer_ = net::Timers::kNone;
    if (!fatal_error_.empty()) {
        return;
    }
    try {
        raft_storage_.persist(std::exchange(pending_writes_, {}));
    } catch (const std::exception& error) {
        // After a failed fsync the contents of the disk are not known, so this planner must neither
        // vote nor acknowledge entries any more.
        fatal_error_ = error.what();
        return;
    }
    const Seconds now = boottime_now();
    planner_core_->with_raft(now,
                             [&](raft::Raft& raft) { raft.on_persisted(now, last_persist_id_); });
    schedule_tick();
}

void Planner::schedule_tick() {
    if (!planner_core_ || !fatal_error_.empty()) {
        return;
    }
    if (planner_core_->wants_round() && batch_timer_ == net::Timers::kNone) {
        batch_timer_ = loop_.timers.soon([this] {
            batch_timer_ = net::Timers::kNone;
            planner_core_->end_batch(boottime_now());
            schedule_tick();
        });
    }
    loop_.timers.cancel(tick_timer_);
    const Seconds at = planner_core_->due();
    if (at == std::numeric_limits<double>::infinity()) {
        return;
    }
    tick_timer_ = loop_.timers.at(net::clock_now() + std::max(0.0, at - boottime_now()), [this] {
        tick_timer_ = net::Timers::kNone;
        planner_core_->set_unix_offset(net::wall_time() - boottime_now());
        planner_core_->tick(boottime_now());
        schedule_tick();
    });
}

}  // namespace tideline::planner
