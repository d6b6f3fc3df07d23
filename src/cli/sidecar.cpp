#include "cli/sidecar.hpp"

#include <fmt/format.h>

#include <utility>

#include "cli/signals.hpp"
#include "cluster/cluster_member.hpp"
#include "net/sidecar.hpp"

namespace tideline::cli {
namespace {

using namespace tideline::net;

// Reloads the configuration at SIGHUP. If the file is missing, incomplete or invalid, the present
// configuration stays in use and the file is read again after a backoff. Only the first failure is
// logged.
class ConfigurationReload {
  public:
    ConfigurationReload(EventLoop& loop, Log& log, Sidecar& sidecar, cluster::ClusterMember* member,
                        const SidecarCommand& command)
        : loop_(loop), log_(log), sidecar_(sidecar), member_(member), command_(command) {}
    ConfigurationReload(const ConfigurationReload&) = delete;
    ConfigurationReload& operator=(const ConfigurationReload&) = delete;
    ~ConfigurationReload() {
        loop_.timers.cancel(retry_timer_);
    }
    void begin() {
        loop_.timers.cancel(retry_timer_);
        backoff_ = kInitialReconnectBackoff;
        requested_at_ = loop_.arrived_after();
        try_reload(true);
    }

  private:
    void try_reload(bool is_first_try) {
        retry_timer_ = Timers::kNone;
        try {
            // Both files are read before either is applied, so that an error in one of them keeps
            // the other from being applied alone.
            const SidecarConfig config = read_sidecar_config(command_.config_path);
            if (member_) {
                member_->apply_config(cluster::load_cluster_config(command_.cluster_config_path));
            }
            sidecar_.reload(config, requested_at_);
        } catch (const std::exception& error) {
            if (is_first_try) {
                log_.line("configuration rejected: error=\"{}\" kept=present", error.what());
            }
            retry_timer_ = loop_.timers.at(clock_now() + backoff_, [this] { try_reload(false); });
            backoff_ = std::min(kMaxReconnectBackoff, 2 * backoff_);
        }
    }
    EventLoop& loop_;
    Log& log_;
    Sidecar& sidecar_;
    cluster::ClusterMember* const member_;
    const SidecarCommand command_;
    Seconds backoff_ = kInitialReconnectBackoff;
    Seconds requested_at_ = 0;  // the signal arrived at this time or later
    Timers::Id retry_timer_ = Timers::kNone;
};

// s: a graceful shutdown waits at most this long for messages to reach other members.
constexpr Seconds kMaxSettleTime = 0.5;

slow_start::SlowStartSettings slow_start_settings(const SidecarConfig& config) {
    slow_start::SlowStartSettings settings;
    settings.window = config.required_number("rules.fall_window");
    settings.overload_multiple = config.required_number("rules.fall_multiple");
    settings.cold_share = config.required_number("rules.cold_share");
    settings.warm_up_time = config.required_number("rules.warm_within");
    return settings;
}

// Returns for how long the effect log has to keep the records of a request class, in s; 0 if it
// needs none. `prefix` is the prefix of the settings of the class, such as operations.0.
Seconds needed_retention(const SidecarConfig& config, const std::string& prefix) {
    const auto effect = config.settings.find(prefix + ".effect");
    if (effect == config.settings.end() || effect->second == Setting{std::string("idempotent")}) {
        return 0;
    }
    const auto window = config.settings.find(prefix + ".repeat_window");
    const bool has_window =
        window != config.settings.end() && std::holds_alternative<double>(window->second);
    const Seconds repeat_window = has_window ? std::get<double>(window->second) : 0;
    return repeat_window + config.required_number(prefix + ".time_limit");
}

// Throws std::runtime_error if the effect log keeps records for a shorter time than some request
// class needs. Records have to be kept for at least as long as endpoints recognise repeats: after a
// shorter time a late repeat would take effect again.
void check_retention(const SidecarConfig& config, const cluster::ClusterConfig& cluster_config) {
    if (!cluster_config.replication.enabled) {
        return;
    }
    const Seconds retention = cluster_config.replication.replica.time_to_live;
    const int count = static_cast<int>(config.required_number("operations.count"));
    for (int i = 0; i < count; ++i) {
        const std::string prefix = "operations." + std::to_string(i);
        const Seconds needed = needed_retention(config, prefix);
        if (retention < needed) {
            throw std::runtime_error(fmt::format(
                "copies.keep is {} s, but has to be at least the {} s that {} needs: the "
                "sum of its repeat_window and its time_limit",
                retention, needed, prefix));
        }
    }
}

}  // namespace

int run_sidecar(const SidecarCommand& command) {
    const SidecarConfig config = read_sidecar_config(command.config_path);
    Log log(command.log_form);
    // By default protobuf writes errors to standard error itself, and would block on a slow reader.
    google::protobuf::SetLogHandler(nullptr);
    EventLoop loop;
    Signals signals(loop);
    std::unique_ptr<cluster::ClusterMember> member;
    if (!command.cluster_config_path.empty()) {
        const cluster::ClusterConfig cluster_config =
            cluster::load_cluster_config(command.cluster_config_path);
        check_retention(config, cluster_config);
        member = std::make_unique<cluster::ClusterMember>(loop, log, cluster_config,
                                                          cluster::digest_of(config.text),
                                                          slow_start_settings(config), config.seed);
    }
    Sidecar sidecar(loop, log, config, member.get(), member ? member->effect_guard() : nullptr);
    if (member) {
        member->begin(sidecar);
    }
    ConfigurationReload reload(loop, log, sidecar, member.get(), command);
    bool shutting_down = false;
    Seconds done_since = 0;
    // Before the process ends, the outcomes of the last attempts are sent to the other members, for
    // a limited time.
    const auto may_exit = [&] {
        if (!sidecar.done()) {
            return false;
        }
        if (done_since == 0) {
            done_since = clock_now();
        }
        return !member || member->settled() || clock_now() > done_since + kMaxSettleTime;
    };
    while (!may_exit()) {
        loop.pass();
        log.flush();
        if (std::exchange(signals.reload_requested, false) && !shutting_down) {
            reload.begin();
        }
        if (!signals.shutdown_requested || shutting_down) {
            continue;
        }
        shutting_down = true;
        log.line("shutdown started: closing_clients_in_s={}", kShutdownOverlapDuration);
        if (member) {
            member->leave();
        }
        loop.timers.at(clock_now() + kShutdownOverlapDuration, [&] { sidecar.shut_down(); });
    }
    sidecar.report();
    log.line("shutdown finished");
    log.flush();
    return 0;
}

}  // namespace tideline::cli
