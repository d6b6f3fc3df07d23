// Measures what replication costs with real processes on one machine: the latency of a charge with
// and without replication and group commit, the rate at saturation, and the time and latencies of a
// repair.
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "fault_tests/replication_run.hpp"
#include "fault_tests/replication_scenarios.hpp"

namespace tideline::fault_tests {
namespace {

using namespace fakes;

constexpr int kSaturatingClients = 96;  // each sends its next request when it has an answer
// The rate, over all sidecars, at which latencies are measured below saturation.
constexpr double kChargesPerSecond = 150;

// A sample of latencies with its quantiles.
struct Latencies {
    std::vector<double> seconds;
    double value_at(double quantile) {
        if (seconds.empty()) {
            return 0;
        }
        std::sort(seconds.begin(), seconds.end());
        return seconds[static_cast<std::size_t>(quantile *
                                                static_cast<double>(seconds.size() - 1))];
    }
    std::string format_row() {
        return fmt::format("{:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f}", value_at(0.1) * 1e3,
                           value_at(0.5) * 1e3, value_at(0.9) * 1e3, value_at(0.99) * 1e3,
                           value_at(1) * 1e3);
    }
};
// Returns the bytes that the loopback interface has received since boot.
double loopback_bytes() {
    std::ifstream file("/proc/net/dev");
    for (std::string line; std::getline(file, line);) {
        if (const auto at = line.find("lo:"); at != std::string::npos) {
            return std::stod(line.substr(at + 3));
        }
    }
    return 0;
}
// Returns the CPU time of all sidecars in seconds.
double cpu_of_all(ReplicationFleet& fleet) {
    double sum = 0;
    for (int i = 1; i <= fleet.options.members; ++i) {
        sum += fleet.sidecars.cpu_of(i);
    }
    return sum;
}
// Shuts a member down, since a process reports its fsyncs at exit, and returns their number.
double stop_and_count_fsyncs(ReplicationFleet& fleet, int member) {
    fleet.apply("term", {static_cast<double>(member)});
    fleet.wait_until(8, [&] {
        return !fleet.sidecars.members[static_cast<std::size_t>(member)].process->runs();
    });
    std::ifstream file(fmt::format("{}/n{}.fsyncs", fleet.sidecars.folder, member));
    double count = 0;
    file >> count;
    return count;
}
// Returns the latencies of successful first attempts, of the requests from index `from` on that
// were sent at `after` or later.
Latencies first_attempt_latencies(const ReplicationFleet& fleet, std::size_t from,
                                  Seconds after = 0) {
    Latencies sample;
    for (std::size_t i = from; i < fleet.clients.requests.size(); ++i) {
        const Attempt& first_attempt = fleet.clients.requests[i].attempts.front();
        if (first_attempt.result == CallResult::succeeded && first_attempt.sent_at >= after) {
            sample.seconds.push_back(first_attempt.latency);
        }
    }
    return sample;
}
// Clients that each send new charges one after the other, as a load that saturates the sidecars.
struct SaturationLoad {
    SaturationLoad(ReplicationFleet& fleet, const std::string& prefix)
        : fleet_(fleet), prefix_(prefix) {
        const auto addresses = ReplicationFleet::addresses(fleet.options.members);
        for (int i = 0; i < kSaturatingClients; ++i) {
            clients_.push_back(std::make_unique<ClientConnection>(
                fleet.loop, addresses[static_cast<std::size_t>(i % fleet.options.members)],
                [](ClientConnection*) {}));
        }
        for (auto& each : clients_) {
            send_next(*each);
        }
    }
    ~SaturationLoad() {
        for (auto& each : clients_) {
            each->close();
            fleet_.loop.destroy_after_pass(std::move(each));
        }
    }
    void send_next(ClientConnection& client) {
        if (stopped) {
            return;
        }
        const std::string key = fmt::format("{}{}", prefix_, ++requests_sent);
        const Seconds at = net::clock_now();
        client.send(fmt::format("INSERT INTO records (k, v) VALUES ('7f', '\\x01') RETURNING v /* "
                                "id={},c=charge,t=desk,d=1500,k={} */",
                                key, key),
                    [this, &client, at](CallResult result, const std::string&) {
                        succeeded += result == CallResult::succeeded;
                        if (result == CallResult::succeeded) {
                            latencies.seconds.push_back(net::clock_now() - at);
                        }
                        fleet_.loop.timers.soon([this, &client] {
                            if (client.idle()) {
                                send_next(client);
                            }
                        });
                    });
    }
    std::uint64_t requests_sent = 0;
    std::uint64_t succeeded = 0;
    Latencies latencies;
    bool stopped = false;

  private:
    ReplicationFleet& fleet_;
    const std::string prefix_;
    std::vector<std::unique_ptr<ClientConnection>> clients_;
};
void remove_folders(ReplicationFleet& fleet) {
    for (const std::string& folder : {fleet.sidecars.folder, fleet.planners.folder}) {
        std::filesystem::remove_all(folder);
    }
}

// Starts planners and sidecars with fast endpoints, and waits until all replicas are complete.
void start_fleet(ReplicationFleet& fleet) {
    fleet.planners.begin();
    fleet.sidecars.begin();
    for (auto& endpoint : fleet.sidecars.endpoints) {
        endpoint->min_latency = 0.002;
        endpoint->max_latency = 0.003;
    }
    if (!fleet.options.without_replication && !fleet.wait_until_complete()) {
        throw std::runtime_error("the replicas are not complete at the start");
    }
}

// Starts clients that send kChargesPerSecond charges without retries; returns after 3 s.
void start_clients(ReplicationFleet& fleet) {
    fleet.clients.retry_share_after_success = 0;
    fleet.clients.max_attempts = 1;
    fleet.clients.begin(kChargesPerSecond);
    fleet.run(3);
}

// One row of the table of replicated requests.
struct RequestRow {
    const char* name;
    int replicas;  // 0 turns replication off
    bool group_commit;
};

void measure_request_row(const ReplicationOptions& options, const RequestRow& row,
                         Seconds duration) {
    ReplicationOptions row_options = options;
    row_options.without_replication = row.replicas == 0;
    row_options.replicas = std::max(1, row.replicas);
    row_options.planners.keep_folder = true;
    SidecarClusterOptions base = cluster_options_of(row_options);
    base.group_commit = row.group_commit;
    ReplicationFleet fleet(row_options, base);
    start_fleet(fleet);
    start_clients(fleet);
    const std::size_t from = fleet.clients.requests.size();
    const double cpu = cpu_of_all(fleet);
    const double bytes = loopback_bytes();
    fleet.run(duration);
    const auto charges = static_cast<double>(fleet.clients.requests.size() - from);
    const double cpu_each = (cpu_of_all(fleet) - cpu) / charges * 1e3;
    const double bytes_each = (loopback_bytes() - bytes) / charges;
    fleet.clients.stop();
    Latencies latencies = first_attempt_latencies(fleet, from);
    const auto before = static_cast<double>(fleet.clients.requests.size());
    SaturationLoad saturation(fleet, "s");
    fleet.run(1);
    const std::uint64_t succeeded_before = saturation.succeeded;
    saturation.latencies.seconds.clear();
    fleet.run(duration);
    const double rate = static_cast<double>(saturation.succeeded - succeeded_before) / duration;
    saturation.stopped = true;
    fleet.run(0.5);
    double fsyncs = 0;
    for (int i = 1; i <= row_options.members; ++i) {
        fsyncs += stop_and_count_fsyncs(fleet, i);
    }
    fsyncs /= before + static_cast<double>(saturation.succeeded);
    fmt::print("| {} | {} | {:.2f} | {:.0f} | {:.2f} | {:.0f} | {:.1f} | {:.1f} |\n", row.name,
               latencies.format_row(), cpu_each, bytes_each, fsyncs, rate,
               saturation.latencies.value_at(0.5) * 1e3, saturation.latencies.value_at(0.99) * 1e3);
    std::fflush(stdout);
    remove_folders(fleet);
}

// Sends charges until `record_count` records are stored, for 120 s at most.
void store_records(ReplicationFleet& fleet, int record_count) {
    SaturationLoad fill(fleet, "f");
    const Seconds until = net::clock_now() + 120;
    while (fill.succeeded < static_cast<std::uint64_t>(record_count) && net::clock_now() < until) {
        fleet.run(0.05);
    }
    fill.stopped = true;
    fleet.run(0.5);
}

// Returns the number of records that a member stores.
std::size_t record_count_of(ReplicationFleet& fleet, int member) {
    const auto answer = fleet.query();
    if (!answer) {
        return 0;
    }
    for (const auto& row : answer->rows()) {
        if (row.name() == fmt::format("n{}", member)) {
            return row.report().records();
        }
    }
    return 0;
}

// Counts the requests from index `from` on whose first attempt, at another member than the lost
// one, was rejected.
std::size_t rejected_since(const ReplicationFleet& fleet, std::size_t from, int lost) {
    std::size_t rejected = 0;
    for (std::size_t i = from; i < fleet.clients.requests.size(); ++i) {
        const Attempt& first = fleet.clients.requests[i].attempts.front();
        rejected += first.result == CallResult::rejected && first.sidecar + 1 != lost;
    }
    return rejected;
}

void measure_repair_row(const ReplicationOptions& options, int record_count) {
    ReplicationOptions row_options = options;
    row_options.planners.keep_folder = true;
    SidecarClusterOptions base = cluster_options_of(row_options);
    base.time_to_live = 600;
    ReplicationFleet fleet(row_options, base);
    start_fleet(fleet);
    store_records(fleet, record_count);
    start_clients(fleet);
    Latencies before = first_attempt_latencies(fleet, 0);
    const int lost = fleet.busiest_member(true);
    const std::size_t records_at_lost = record_count_of(fleet, lost);
    const std::size_t from = fleet.clients.requests.size();
    fleet.lose_machine(lost);
    const Seconds lost_at = net::clock_now();
    const std::string gone = fmt::format("member gone: name=n{}\n", lost);
    fleet.wait_until(10, [&] {
        return fleet.sidecars.log_of(lost % row_options.members + 1).find(gone) !=
               std::string::npos;
    });
    const Seconds known_after = net::clock_now() - lost_at;
    fleet.wait_until_complete(60);
    const Seconds complete_after = net::clock_now() - lost_at;
    fleet.clients.stop();
    fleet.run(1.8);
    Latencies meanwhile = first_attempt_latencies(fleet, from);
    fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {} of {} |\n",
               record_count, records_at_lost, complete_after, known_after,
               before.value_at(0.5) * 1e3, before.value_at(0.99) * 1e3,
               meanwhile.value_at(0.5) * 1e3, meanwhile.value_at(0.99) * 1e3,
               rejected_since(fleet, from, lost), fleet.clients.requests.size() - from);
    std::fflush(stdout);
    remove_folders(fleet);
}

}  // namespace

void measure_replicated_requests(const ReplicationOptions& options, Seconds duration) {
    fmt::print(
        "{} sidecars, {} charges per second in total, {:.0f} s for each row; "
        "then {} clients that each send the next charge at once, {:.0f} s\n\n"
        "| replicas | p10, ms | p50 | p90 | p99 | worst | CPU, ms per charge | bytes per charge "
        "| fsyncs per charge | charges per second at saturation | p50 at saturation, ms | p99 |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        options.members, kChargesPerSecond, duration, kSaturatingClients, duration);
    for (const RequestRow& row :
         {RequestRow{"off", 0, true}, RequestRow{"1", 1, true}, RequestRow{"2", 2, true},
          RequestRow{"3", 3, true}, RequestRow{"2, an fsync for each record", 2, false}}) {
        measure_request_row(options, row, duration);
    }
}

void measure_repair(const ReplicationOptions& options) {
    fmt::print(
        "2 replicas, {} sidecars; a machine is lost with its disk and not started again; "
        "{} charges per second meanwhile\n\n"
        "| stored records | at the lost member | complete again, s | of which until it is declared "
        "gone, s "
        "| p50 before, ms | p99 | p50 meanwhile | p99 | rejected meanwhile |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        options.members, kChargesPerSecond);
    for (const int record_count : {1000, 5000, 20000, 50000}) {
        measure_repair_row(options, record_count);
    }
}

}  // namespace tideline::fault_tests
