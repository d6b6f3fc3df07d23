#include "cli/sidecar.hpp"

#include <fmt/format.h>

#include <utility>

#include "cli/signals.hpp"
#include "cluster/cluster_member.hpp"
#include "net/sidecar.hpp"

namespace tideline::cli {
namespace {

using namespace tideline::net;

// Reads the configuration again at SIGHUP. The file may be missing, half written or wrong: then the
// present configuration stays in use, and the file is read again after a backoff, without another
// line in the log.
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
        asked_at_ = loop_.arrived_after();
        attempt(true);
    }

  private:
    void attempt(bool first) {
        retry_timer_ = Timers::kNone;
        try {
            // Both files are read before either is applied: else one could be applied and the other
            // rejected.
            const SidecarConfig config = read_sidecar_config(command_.config_path);
            if (member_) {
                member_->apply_config(cluster::load_cluster_config(command_.cluster_config_path));
            }
            sidecar_.reload(config, asked_at_);
        } catch (const std::exception& error) {
            if (first) {
                log_.line("configuration rejected: error=\"{}\" kept=present", error.what());
            }
            retry_timer_ = loop_.timers.at(clock_now() + backoff_, [this] { attempt(false); });
            backoff_ = std::min(kMaxReconnectBackoff, 2 * backoff_);
        }
    }
    EventLoop& loop_;
    Log& log_;
    Sidecar& sidecar_;
    cluster::ClusterMember* const member_;
    const SidecarCommand command_;
    Seconds backoff_ = kInitialReconnectBackoff;
    Seconds asked_at_ = 0;  // the signal came no earlier
    Timers::Id retry_timer_ = Timers::kNone;
};

constexpr Seconds kMaxSettleTime = 0.5;  // s: a graceful shutdown waits no longer for other members

slow_start::SlowStartSettings slow_start_settings(const SidecarConfig& config) {
    slow_start::SlowStartSettings settings;
    settings.window = config.required_number("rules.fall_window");
    settings.overload_multiple = config.required_number("rules.fall_multiple");
    settings.cold_share = config.required_number("rules.cold_share");
    settings.warm_up_time = config.required_number("rules.warm_within");
    return settings;
}

// For how long the effect log needs the records of a request class, in s; 0: it needs none.
// `prefix`: of the settings of the class, as operations.0.
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

// Effects have to be kept for at least as long as endpoints recognise repeats: after a shorter time
// a late repeat would take effect again.
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
            throw std::runtime_error(
                fmt::format("copies.keep is {} s; allowed are at least the {} s that {} needs: its "
                            "repeat_window and its time_limit",
                            retention, needed, prefix));
        }
    }
}

}  // namespace

int run_sidecar(const SidecarCommand& command) {
    const SidecarConfig config = read_sidecar_config(command.config_path);
    Log log(command.log);
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
    bool ending = false;
    Seconds done_since = 0;
    // The outcome of the last attempts is sent to the other members first, for a limited time.
    const auto done = [&] {
        if (!sidecar.done()) {
            return false;
        }
        if (done_since == 0) {
            done_since = clock_now();
        }
        return !member || member->settled() || clock_now() > done_since + kMaxSettleTime;
    };
    while (!done()) {
        loop.pass();
        log.flush();
        if (std::exchange(signals.reload_requested, false) && !ending) {
            reload.begin();
        }
        if (!signals.shutdown_requested || ending) {
            continue;
        }
        ending = true;
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
