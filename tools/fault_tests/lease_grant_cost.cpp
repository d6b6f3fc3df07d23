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
double since(Clock::time_point from) {
    return std::chrono::duration<double>(Clock::now() - from).count();
}

// Acquires and releases so many leases at once over one connection, again and again.
class GrantLoop : public net::TcpConnection {
  public:
    GrantLoop(net::EventLoop& loop, const net::Address& address, int at_once)
        : TcpConnection(loop), at_once_(at_once) {
        open(address);
        for (int i = 0; i < at_once_; ++i) {
            ask(i, wire::LeaseAsk::TAKE, 0);
        }
    }
    long grants = 0;
    long rejected = 0;
    bool is_closed = false;
    std::vector<double> grant_times;  // s, from a request to its grant

  protected:
    void on_received() override {
        std::string_view on_body;
        std::string why;
        for (std::size_t used = 0; cluster::decode_frame(in_.all(), 1 << 20, on_body, used, why) ==
                                   cluster::FrameRead::whole;) {
            wire::Word message;
            cluster::decode_message(on_body, message);
            in_.drop(used);
            const auto& answer = message.lease_answer();
            const int task = static_cast<int>(answer.no() % 1000);
            switch (static_cast<lease::Answer>(answer.what())) {
                case lease::Answer::granted:
                    ++grants;
                    grant_times.push_back(net::clock_now() - asked_at_[task]);
                    ask(task, wire::LeaseAsk::GIVE_BACK, answer.fence());
                    break;
                case lease::Answer::over:
                    ask(task, wire::LeaseAsk::TAKE, 0);
                    break;
                default:  // its release is still on its way through the log, or there is no
                          // leader
                    ++rejected;
                    loop_.timers.at(net::clock_now() + 0.002,
                                    [this, task] { ask(task, wire::LeaseAsk::TAKE, 0); });
            }
        }
    }
    void on_closed() override {
        is_closed = true;
    }

  private:
    void ask(int task, wire::LeaseAsk::What operation, std::uint64_t fence) {
        if (closed()) {
            return;
        }
        wire::Word message;
        wire::LeaseAsk& ask = *message.mutable_lease_ask();
        ask.set_what(operation);
        ask.set_lease(fmt::format("task-{}", task));
        ask.set_fence(fence);
        // Each round as another incarnation: a released token may not be used again.
        if (operation == wire::LeaseAsk::TAKE) {
            ++rounds_[task];
            asked_at_[task] = net::clock_now();
        }
        ask.set_no(static_cast<std::uint64_t>(rounds_[task]) * 1000 +
                   static_cast<std::uint64_t>(task));
        ask.set_member(fmt::format("m{}", task));
        ask.set_life(static_cast<std::uint64_t>(rounds_[task]));
        put(cluster::encode_message(message));
    }
    const int at_once_;
    std::map<int, long> rounds_;
    std::map<int, double> asked_at_;
};

void measure_planners(PlannerClusterOptions options, int count, int at_once, Seconds span) {
    options.planners = count;
    options.holders = 0;
    options.bypass_relay = true;
    options.keep_folder = true;
    net::EventLoop loop;
    PlannerCluster cluster(loop, options);
    cluster.begin();
    const int leads = cluster.leader();
    GrantLoop grant_loop(loop, fakes::at_port(leads, kFleetPort, kListenNet), at_once);
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
    cluster.run(span);
    const double took = since(from);
    const long grants = grant_loop.grants;
    std::vector<double> times = grant_loop.grant_times;
    std::sort(times.begin(), times.end());
    grant_loop.close();
    const double cpu = cluster.cpu_of(leads);
    for (int i = 1; i <= count; ++i) {
        cluster.processes[static_cast<std::size_t>(i)]->signal(SIGTERM);
    }
    cluster.run(1);
    const auto at = [&](double quantile) {
        return times.empty() ? 0
                             : 1e3 * times[static_cast<std::size_t>(
                                         quantile * static_cast<double>(times.size() - 1))];
    };
    // fsyncs over the whole life of the leader's process, which did little else.
    fmt::print("| {} planners | {} | {:.0f} | {:.2f} | {:.2f} | {:.1f} | {:.2f} |\n", count,
               at_once, static_cast<double>(grants) / took, at(0.5), at(0.99),
               static_cast<double>(fsyncs_at(leads)) / static_cast<double>(std::max(1L, grants)) *
                   took / (took + 0.5),
               cpu / static_cast<double>(std::max(1L, grants)) * 1e3);
    std::fflush(stdout);
    std::filesystem::remove_all(cluster.folder);
}

// The baseline: one process, one SQLite file, a transaction a grant and one a release.
void measure_one_file(const std::string& folder, Seconds span) {
    sqlite3* db = nullptr;
    sqlite3_open((folder + "/one.db").c_str(), &db);
    const auto run = [&](const char* sql) { sqlite3_exec(db, sql, nullptr, nullptr, nullptr); };
    run("PRAGMA locking_mode = EXCLUSIVE; PRAGMA journal_mode = PERSIST; PRAGMA synchronous = "
        "FULL");
    run("CREATE TABLE lease (name TEXT PRIMARY KEY, holder TEXT, fence INTEGER)");
    std::vector<double> times;
    const auto from = Clock::now();
    long grants = 0;
    while (since(from) < span) {
        const auto started = Clock::now();
        run(fmt::format("INSERT OR REPLACE INTO lease VALUES ('task', 'm', {})", ++grants).c_str());
        times.push_back(since(started));
        run("UPDATE lease SET holder = NULL WHERE name = 'task'");
    }
    sqlite3_close(db);
    std::sort(times.begin(), times.end());
    fmt::print("| one SQLite file, no copies | 1 | {:.0f} | {:.2f} | {:.2f} | | |\n",
               static_cast<double>(grants) / span, 1e3 * times[times.size() / 2],
               1e3 * times[times.size() * 99 / 100]);
}

raft::PersistRequest record(std::uint64_t at) {
    raft::PersistRequest request;
    request.first_index = {at};
    request.entries.push_back({{1}, raft::EntryKind::command, std::string(60, 'x'), {}});
    return request;
}
void measure_writes(const char* name, const std::function<void(std::uint64_t)>& store,
                    Seconds span) {
    const auto from = Clock::now();
    std::uint64_t count = 0;
    while (since(from) < span) {
        store(++count);
    }
    fmt::print("| {} | {:.0f} | {:.3f} |\n", name, static_cast<double>(count) / span,
               1e3 * span / static_cast<double>(count));
}

// What ways to store one record durably cost, the chosen one first.
void measure_sqlite(const std::string& folder, Seconds span) {
    {
        planner::RaftStorage raft_storage(folder + "/a", cluster::Name{"p"}, 1,
                                          planner::RaftStorage::JournalMode::rollback);
        measure_writes(
            "SQLite, rollback journal (chosen)",
            [&](auto at) { raft_storage.persist({record(at)}); }, span);
    }
    {
        planner::RaftStorage raft_storage(folder + "/b", cluster::Name{"p"}, 1,
                                          planner::RaftStorage::JournalMode::write_ahead);
        measure_writes(
            "SQLite, write-ahead log", [&](auto at) { raft_storage.persist({record(at)}); }, span);
    }
}
void measure_own_log(const std::string& folder, Seconds span) {
    const int fd = ::open((folder + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    const std::string frame = cluster::encode_frame(std::string(60, 'x'));
    measure_writes(
        "own frames with XXH3, append and fdatasync",
        [&](auto) {
            static_cast<void>(::write(fd, frame.data(), frame.size()) && ::fdatasync(fd));
        },
        span);
    ::close(fd);
}
void measure_lmdb(const std::string& folder, Seconds span) {
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
        span);
    ::mdb_env_close(env);
}

}  // namespace

void measure_grants(const PlannerClusterOptions& options, Seconds span) {
    char name[] = "/tmp/tideline-grants-XXXXXX";
    if (!::mkdtemp(name)) {
        throw std::runtime_error("no folder under /tmp");
    }
    const std::string folder = name;
    fmt::print(
        "one record of 60 bytes made to last, {} s each\n\n| way | a second | ms each |\n| --- | "
        "--- | --- "
        "|\n",
        span);
    measure_sqlite(folder, span);
    measure_own_log(folder, span);
    measure_lmdb(folder, span);
    fmt::print(
        "\n{} s a row; times from a take to its grant\n\n"
        "| way | at once | grants a second | median, ms | p99, ms | fsyncs a grant, leader | CPU "
        "of the "
        "leader, ms a "
        "grant |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        span);
    measure_one_file(folder, span);
    for (const int count : {3, 5}) {
        for (const int at_once : {1, 16, 128}) {
            measure_planners(options, count, at_once, span);
        }
    }
    std::filesystem::remove_all(folder);
}

}  // namespace tideline::fault_tests
