#include "cluster/replication_agent.hpp"

#include <fmt/format.h>

#include <limits>

#include "cluster/replication_agent_keys.hpp"
#include "lease/clock.hpp"

namespace tideline::cluster {
namespace {

using lease::boottime_now;
using replication::Key;

// Request number of the reports that the repair coordinator asks for.
constexpr std::uint64_t kCoordinatorReportNumber = ~0ULL;
// A leaving member has answered all its requests by then.
constexpr Seconds kLeaveDelay = 3;
// Planners that lag know the newest table by then.
constexpr Seconds kOlderTableTimeout = 30;
// The table is requested at this interval, in case a notification was lost.
constexpr Seconds kTablePollInterval = 5;

replication::ReplicaStoreSettings store_settings_of(const ReplicationSettings& settings) {
    replication::ReplicaStoreSettings store_settings;
    store_settings.keep = settings.replica.time_to_live;
    store_settings.keep_bytes = settings.replica.bytes_time_to_live;
    store_settings.grouped = settings.group_commit;
    return store_settings;
}

}  // namespace

ReplicationAgent::ReplicationAgent(net::EventLoop& loop, net::Log& log, Owner& owner,
                                   const ClusterConfig& cluster_config,
                                   const Incarnation& incarnation, std::uint64_t fresh_disk)
    : loop_(loop),
      log_(log),
      owner_(owner),
      settings_(cluster_config.replication),
      self_(cluster_config.name),
      incarnation_(incarnation),
      replica_store_(cluster_config.folder, cluster_config.name, fresh_disk,
                     store_settings_of(cluster_config.replication)),
      effect_log_(*this, settings_.effect_log, cluster_config.name, incarnation, boottime_now()),
      repair_coordinator_(*this, settings_.repair_coordinator) {
    if (!replica_store_.load_fault().empty()) {
        log_.alarm("{}", replica_store_.load_fault());
    }
    const Seconds now = boottime_now();
    replication::ReplicaHost& host = *this;
    replica_ = std::make_unique<replication::Replica>(host, settings_.replica, self_,
                                                      replica_store_.disk(),
                                                      replica_store_.take_stored_state(), now);
    log_.line("replica records loaded: count={} disk={:016x}", replica_->records(),
              replica_store_.disk().value);
    effect_log_.update_member(now, cluster_config.name, incarnation, false);
    repair_coordinator_.update_member(now, cluster_config.name, incarnation, cluster_config.place,
                                      true);
    loop_.watch(replica_store_.ready(), this, POLLIN);
}

ReplicationAgent::~ReplicationAgent() {
    loop_.unwatch(replica_store_.ready());
    for (auto* key : {&tick_timer_, &scrub_timer_, &poll_timer_}) {
        loop_.timers.cancel(*key);
    }
    for (auto& [name, key] : leave_timers_) {
        loop_.timers.cancel(key);
    }
}

void ReplicationAgent::begin(net::ObservedSidecar& sidecar) {
    sidecar_ = &sidecar;
    request_table({});
    effect_log_.read(boottime_now(), key_of_seals(self_));
    scrub();
    schedule_tick();
}

void ReplicationAgent::leave() {
    set_repair_lease(false);
}

Seconds ReplicationAgent::time() const {
    return boottime_now();
}

void ReplicationAgent::schedule_tick() {
    loop_.timers.cancel(tick_timer_);
    const Seconds at = std::min({replica_->due(), effect_log_.due(), repair_coordinator_.due()});
    if (at == std::numeric_limits<double>::infinity()) {
        return;
    }
    tick_timer_ = loop_.timers.at(net::clock_now() + std::max(0.0, at - boottime_now()), [this] {
        tick_timer_ = net::Timers::kNone;
        const Seconds now = boottime_now();
        if (disk_works_) {
            replica_->tick(now);
        }
        effect_log_.tick(now);
        repair_coordinator_.tick(now);
        finish_queries();
        schedule_tick();
    });
}

void ReplicationAgent::store(replication::WriteNumber write_number, replication::ShardId shard_id,
                             const replication::Record& record) {
    replica_store_.put(write_number, shard_id, record, boottime_now());
}

void ReplicationAgent::store_removal(replication::WriteNumber write_number,
                                     replication::ShardId shard_id, const std::vector<Key>& keys) {
    replica_store_.drop(write_number, shard_id, keys);
}

void ReplicationAgent::store_shard_removal(replication::WriteNumber write_number,
                                           replication::ShardId shard_id) {
    replica_store_.clear(write_number, shard_id);
}

void ReplicationAgent::store_table_version(replication::WriteNumber write_number,
                                           replication::TableVersion number) {
    replica_store_.number(write_number, number);
}

void ReplicationAgent::ready(short) {
    const auto done = replica_store_.take_progress();
    const Seconds now = boottime_now();
    if (!done.failed.empty() && std::exchange(disk_works_, false)) {
        log_.alarm("replica disk failed: reason=\"{}\" action=\"repair the disk, then restart\"",
                   done.failed);
    }
    if (!disk_works_) {
        return;
    }
    replica_->on_stored(now, done.up_to);
    for (const replication::ShardId shard_id : done.corrupt) {
        replica_->mark_corrupt(now, shard_id);
    }
    schedule_tick();
}

void ReplicationAgent::scrub() {
    const auto shard_count = replica_->table().shards.size();
    if (shard_count > 0 && disk_works_) {
        replica_store_.scrub({scrubbed_shards_++ % static_cast<std::uint32_t>(shard_count)});
    }
    // Each shard is scrubbed once per scrub interval.
    const Seconds interval =
        settings_.scrub_interval / static_cast<double>(std::max<std::size_t>(1, shard_count));
    scrub_timer_ = loop_.timers.at(net::clock_now() + interval, [this] { scrub(); });
}

void ReplicationAgent::request_table(replication::TableVersion) {
    loop_.timers.cancel(poll_timer_);
    poll_timer_ =
        loop_.timers.at(net::clock_now() + kTablePollInterval, [this] { request_table({}); });
    loop_.timers.soon([this] { owner_.read_table(); });
}

void ReplicationAgent::on_table_version(std::uint64_t number) {
    newest_table_ = std::max(newest_table_, number);
    if (newest_table_ > replica_->table().version.value) {
        request_table({});
    }
}

void ReplicationAgent::on_table_read(std::uint64_t number, const std::string& bytes) {
    replication::ReplicaTable table;
    if (number > 0 && (!replication::table_from(bytes, table) || table.version.value != number)) {
        return log_.alarm("replica table unreadable: version={}", number);
    }
    const Seconds now = boottime_now();
    // Planners that were set up anew restart the versions of the table at one. Without this alarm
    // no table would be applied any more, and the operator would not learn of it.
    if (number >= replica_->newest_table_version().value) {
        older_table_since_ = 0;
    } else if (older_table_since_ == 0) {
        older_table_since_ = now;
    } else if (now > older_table_since_ + kOlderTableTimeout &&
               !std::exchange(logged_older_table_, true)) {
        log_.alarm(
            "replica table too old: version={} newest_applied={} action=\"if the planners were set "
            "up anew, empty this member's folder\"",
            number, replica_->newest_table_version().value);
    }
    if (number > 0) {
        if (disk_works_) {
            replica_->apply_table(now, table);
        }
        effect_log_.apply_table(now, table);
        repair_coordinator_.apply_table(now, table);
    }
    // A coordinator that does not know the newest table would base its plans on an old one.
    if (holds_repair_lease_ && !repair_coordinator_.holds_lease() && number >= newest_table_) {
        repair_coordinator_.lease_acquired(now, table);
        log_.line("repair lease acquired: table_version={}", number);
    }
    schedule_tick();
}

void ReplicationAgent::set_repair_lease(bool held) {
    if (holds_repair_lease_ == held) {
        return;
    }
    holds_repair_lease_ = held;
    if (held) {
        request_table({});
    } else {
        repair_coordinator_.lease_lost();
    }
    schedule_tick();
}

void ReplicationAgent::propose(const replication::ReplicaTable& table) {
    loop_.timers.soon([this, number = table.version.value, bytes = replication::bytes_of(table)] {
        owner_.write_table(number, bytes);
    });
}

void ReplicationAgent::on_table_written(bool done) {
    if (!done) {
        repair_coordinator_.proposal_failed(boottime_now());
    }
    request_table({});
    schedule_tick();
}

void ReplicationAgent::request_reports() {
    wire::Holding message;
    message.mutable_ask_report()->set_no(kCoordinatorReportNumber);
    post(self_, message);
    for (const Name& each : owner_.present_members()) {
        post(each, message);
    }
}

void ReplicationAgent::update_member(const Entry& entry) {
    const bool gone = entry.state >= MemberState::gone;
    repair_coordinator_.update_member(boottime_now(), entry.name, entry.incarnation, entry.place,
                                      !gone);
    net::Timers::Id& leaving = leave_timers_[entry.name];
    loop_.timers.cancel(leaving);
    if (entry.state != MemberState::left) {
        return effect_log_.update_member(boottime_now(), entry.name, entry.incarnation, gone);
    }
    // A member that leaves in order still answers the requests that it has accepted, so its
    // attempts are not treated as those of a failed member yet.
    leaving = loop_.timers.at(
        net::clock_now() + kLeaveDelay, [this, name = entry.name, incarnation = entry.incarnation] {
            leave_timers_[name] = net::Timers::kNone;
            effect_log_.update_member(boottime_now(), name, incarnation, true);
        });
}

void ReplicationAgent::post(const Name& to, const wire::Holding& message) {
    if (to != self_) {
        return owner_.send_replication_message(to, message);
    }
    // Deferred, because the cores must not be called back from within their own calls.
    loop_.timers.soon([this, message] { receive(self_, incarnation_, message); });
}

wire::HeldReport ReplicationAgent::make_report() {
    replication::ReplicaReport report = replica_->report(boottime_now());
    report.disk_works = disk_works_;
    wire::HeldReport message;
    replication::put(report, effect_log_.silent_primaries(boottime_now()), message);
    message.set_granted(effect_log_.granted());
    message.set_uncopied(effect_log_.unreplicated());
    message.set_throttled(effect_log_.rejected());
    message.set_repeats(effect_log_.deduplicated());
    message.set_repair_rate(settings_.replica.repair_rate);
    return message;
}

void ReplicationAgent::send_report(const Name& to, std::uint64_t request_number) {
    wire::Holding message;
    *message.mutable_report() = make_report();
    message.mutable_report()->set_no(request_number);
    post(to, message);
}

void ReplicationAgent::receive(const Name& from, const Incarnation& incarnation,
                               const wire::Holding& message) {
    const Seconds now = boottime_now();
    if (message.has_ask_report()) {
        send_report(from, message.ask_report().no());
    } else if (message.has_report() && message.report().no() == kCoordinatorReportNumber) {
        std::set<Name> silent;
        const replication::ReplicaReport report =
            replication::report_from(message.report(), silent);
        repair_coordinator_.on_report(now, from, incarnation, report, silent);
    } else if (message.has_report()) {
        const auto it = queries_.find(message.report().no());
        if (it == queries_.end() || it->second.awaited.erase(from) == 0) {
            return;
        }
        wire::HeldRow& row = *it->second.answer.add_rows();
        row.set_name(from.value);
        *row.mutable_report() = message.report();
        finish_queries();
    } else if (message.has_give_up()) {
        if (!repair_coordinator_.holds_lease()) {
            return;
        }
        log_.alarm("member removed by operator: member={}", message.give_up().name());
        repair_coordinator_.remove_member(now, Name{message.give_up().name()});
    } else if (disk_works_ || message.has_reply()) {
        replication::dispatch_message(now, from, message, *replica_, effect_log_);
    }
    schedule_tick();
}

}  // namespace tideline::cluster
