#include <fcntl.h>
#include <fmt/format.h>
#include <lmdb.h>
#include <sqlite3.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"
#include "fault_tests/lease_scenarios.hpp"
#include "lease/types.hpp"
#include "planner/raft_storage.hpp"

namespace tideline::fault_tests {
namespace {

using Clock = std::chrono::steady_clock;
double seconds_since(Clock::time_point from) {
    return std::chrono::duration<double>(Clock::now() - from).count();
}

// Acquires and releases `concurrency` leases at a time over one connection, in a loop.
class GrantLoop : public net::TcpConnection {
  public:
    GrantLoop(net::EventLoop& loop, const net::Address& address, int concurrency)
        : TcpConnection(loop), concurrency_(concurrency) {
        open(address);
        for (int i = 0; i < concurrency_; ++i) {
            send_request(i, wire::LeaseAsk::TAKE, 0);
        }
    }
    long grants = 0;
    long rejected = 0;
    bool is_closed = false;
    std::vector<double> grant_times;  // seconds from each request to its grant

  protected:
    void on_received() override {
        std::string_view body;
        std::string error;
        for (std::size_t frame_size = 0;
             cluster::decode_frame(in_.all(), 1 << 20, body, frame_size, error) ==
             cluster::FrameRead::whole;) {
            wire::Word message;
            cluster::decode_message(body, message);
            in_.drop(frame_size);
            const auto& answer = message.lease_answer();
            const int task = static_cast<int>(answer.no() % 1000);
            switch (static_cast<lease::Answer>(answer.what())) {
                case lease::Answer::granted:
                    ++grants;
                    grant_times.push_back(net::clock_now() - requested_at_[task]);
                    send_request(task, wire::LeaseAsk::GIVE_BACK, answer.fence());
                    break;
                case lease::Answer::over:
                    send_request(task, wire::LeaseAsk::TAKE, 0);
                    break;
                default:
                    // The release of the lease has not been committed yet, or there is no leader.
                    ++rejected;
                    loop_.timers.at(net::clock_now() + 0.002,
                                    [this, task] { send_request(task, wire::LeaseAsk::TAKE, 0); });
            }
        }
    }
    void on_closed() override {
        is_closed = true;
    }

  private:
    void send_request(int task, wire::LeaseAsk::What operation, std::uint64_t token) {
        if (closed()) {
            return;
        }
        wire::Word message;
        wire::LeaseAsk& request = *message.mutable_lease_ask();
        request.set_what(operation);
        request.set_lease(fmt::format("task-{}", task));
        request.set_fence(token);
        // Each acquisition uses another incarnation, since a member can't use a released token
        // again.
        if (operation == wire::LeaseAsk::TAKE) {
            ++incarnations_[task];
            requested_at_[task] = net::clock_now();
        }
        request.set_no(static_cast<std::uint64_t>(incarnations_[task]) * 1000 +
                       static_cast<std::uint64_t>(task));
        request.set_member(fmt::format("m{}", task));
        request.set_life(static_cast<std::uint64_t>(incarnations_[task]));
        put(cluster::encode_message(message));
    }
    const int concurrency_;
    std::map<int, long> incarnations_;
    std::map<int, double> requested_at_;
};

// Prints the row for `count` planners with `concurrency` requests at once.
void measure_planners(PlannerClusterOptions options, int count, int concurrency, Seconds duration) {
    options.planners = count;
    options.holders = 0;
    options.bypass_relay = true;
    options.keep_folder = true;
    net::EventLoop loop;
    PlannerCluster cluster(loop, options);
    cluster.begin();
    const int leader = cluster.leader();
    GrantLoop grant_loop(loop, fakes::at_port(leader, kClusterPort, kListenNetwork), concurrency);
    cluster.run(0.5);
    grant_loop.grants = 0;
    grant_loop.grant_times.clear();
    const auto fsyncs_at = [&](int node) {
        std::ifstream file(fmt::format("{}/{}.fsyncs", cluster.folder, cluster.name_of(node)));
        long fsyncs = 0;
        file >> fsyncs;
        return fsyncs;
    };
    const auto from = Clock::now();
    cluster.run(duration);
    const double elapsed = seconds_since(from);
    const long grants = grant_loop.grants;
    std::vector<double> times = grant_loop.grant_times;
    std::sort(times.begin(), times.end());
    grant_loop.close();
    const double cpu = cluster.cpu_of(leader);
    for (int i = 1; i <= count; ++i) {
        cluster.processes[static_cast<std::size_t>(i)]->signal(SIGTERM);
    }
    cluster.run(1);
    const auto at = [&](double quantile) {
        return times.empty() ? 0
                             : 1e3 * times[static_cast<std::size_t>(
                                         quantile * static_cast<double>(times.size() - 1))];
    };
    // The leader's process reports its fsyncs at exit. They are scaled down to the measured part of
    // its lifetime, as grants were its only load.
    fmt::print("| {} planners | {} | {:.0f} | {:.2f} | {:.2f} | {:.1f} | {:.2f} |\n", count,
               concurrency, static_cast<double>(grants) / elapsed, at(0.5), at(0.99),
               static_cast<double>(fsyncs_at(leader)) / static_cast<double>(std::max(1L, grants)) *
                   elapsed / (elapsed + 0.5),
               cpu / static_cast<double>(std::max(1L, grants)) * 1e3);
    std::fflush(stdout);
    std::filesystem::remove_all(cluster.folder);
}

// The baseline: one process with one SQLite database and one transaction for each grant and each
// release.
void measure_single_database(const std::string& folder, Seconds duration) {
    sqlite3* db = nullptr;
    sqlite3_open((folder + "/one.db").c_str(), &db);
    const auto run = [&](const char* sql) { sqlite3_exec(db, sql, nullptr, nullptr, nullptr); };
    run("PRAGMA locking_mode = EXCLUSIVE; PRAGMA journal_mode = PERSIST; PRAGMA synchronous = "
        "FULL");
    run("CREATE TABLE lease (name TEXT PRIMARY KEY, holder TEXT, fence INTEGER)");
    std::vector<double> times;
    const auto from = Clock::now();
    long grants = 0;
    while (seconds_since(from) < duration) {
        const auto started = Clock::now();
        run(fmt::format("INSERT OR REPLACE INTO lease VALUES ('task', 'm', {})", ++grants).c_str());
        times.push_back(seconds_since(started));
        run("UPDATE lease SET holder = NULL WHERE name = 'task'");
    }
    sqlite3_close(db);
    std::sort(times.begin(), times.end());
    fmt::print("| one SQLite file, no replicas | 1 | {:.0f} | {:.2f} | {:.2f} | | |\n",
               static_cast<double>(grants) / duration, 1e3 * times[times.size() / 2],
               1e3 * times[times.size() * 99 / 100]);
}

raft::PersistRequest make_persist_request(std::uint64_t at) {
    raft::PersistRequest request;
    request.first_index = {at};
    request.entries.push_back({{1}, raft::EntryKind::command, std::string(60, 'x'), {}});
    return request;
}
// Prints the row for a way to store records; `store_record` stores the record with the given index.
void measure_writes(const char* name, const std::function<void(std::uint64_t)>& store_record,
                    Seconds duration) {
    const auto from = Clock::now();
    std::uint64_t count = 0;
    while (seconds_since(from) < duration) {
        store_record(++count);
    }
    fmt::print("| {} | {:.0f} | {:.3f} |\n", name, static_cast<double>(count) / duration,
               1e3 * duration / static_cast<double>(count));
}

// Measures what it costs to store one record durably with SQLite, in the journal mode that planners
// use and in write-ahead mode.
void measure_sqlite(const std::string& folder, Seconds duration) {
    {
        planner::RaftStorage raft_storage(folder + "/a", cluster::Name{"p"}, 1,
                                          planner::RaftStorage::JournalMode::rollback);
        measure_writes(
            "SQLite, rollback journal (used by planners)",
            [&](auto at) { raft_storage.persist({make_persist_request(at)}); }, duration);
    }
    {
        planner::RaftStorage raft_storage(folder + "/b", cluster::Name{"p"}, 1,
                                          planner::RaftStorage::JournalMode::write_ahead);
        measure_writes(
            "SQLite, write-ahead log",
            [&](auto at) { raft_storage.persist({make_persist_request(at)}); }, duration);
    }
}
void measure_custom_log(const std::string& folder, Seconds duration) {
    const int fd = ::open((folder + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    const std::string frame = cluster::encode_frame(std::string(60, 'x'));
    measure_writes(
        "custom frames with XXH3, append and fdatasync",
        [&](auto) {
            static_cast<void>(::write(fd, frame.data(), frame.size()) && ::fdatasync(fd));
        },
        duration);
    ::close(fd);
}
void measure_lmdb(const std::string& folder, Seconds duration) {
    MDB_env* env = nullptr;
    std::filesystem::create_directory(folder + "/c");
    ::mdb_env_create(&env);
    ::mdb_env_set_mapsize(env, 256 * 1024 * 1024);
    ::mdb_env_open(env, (folder + "/c").c_str(), 0, 0600);
    std::string bytes(60, 'x');
    measure_writes(
        "LMDB",
        [&](std::uint64_t at) {
            MDB_txn* txn = nullptr;
            MDB_dbi dbi = 0;
            MDB_val key{sizeof at, &at};
            MDB_val value{bytes.size(), bytes.data()};
            ::mdb_txn_begin(env, nullptr, 0, &txn);
            ::mdb_dbi_open(txn, nullptr, MDB_INTEGERKEY, &dbi);
            ::mdb_put(txn, dbi, &key, &value, 0);
            ::mdb_txn_commit(txn);
        },
        duration);
    ::mdb_env_close(env);
}

}  // namespace

void measure_grants(const PlannerClusterOptions& options, Seconds duration) {
    char name[] = "/tmp/tideline-grants-XXXXXX";
    if (!::mkdtemp(name)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    const std::string folder = name;
    fmt::print(
        "one record of 60 bytes stored durably, {} s for each row\n\n"
        "| store | records per second | ms per record |\n"
        "| --- | --- | --- |\n",
        duration);
    measure_sqlite(folder, duration);
    measure_custom_log(folder, duration);
    measure_lmdb(folder, duration);
    fmt::print(
        "\n{} s for each row; times from a request to its grant\n\n"
        "| store | requests at once | grants per second | median, ms | p99, ms | fsyncs per grant, "
        "leader "
        "| CPU of the leader, ms per grant |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n",
        duration);
    measure_single_database(folder, duration);
    for (const int count : {3, 5}) {
        for (const int concurrency : {1, 16, 128}) {
            measure_planners(options, count, concurrency, duration);
        }
    }
    std::filesystem::remove_all(folder);
}

}  // namespace tideline::fault_tests
