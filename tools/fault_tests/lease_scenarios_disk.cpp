// Lease scenarios: disks that fail, are full or damaged, and a clock that is set back.

#include <fmt/format.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "fault_tests/database_journal.hpp"
#include "fault_tests/lease_scenario_list.hpp"

namespace tideline::fault_tests {

// A planner whose disk fails exits, since it can't store votes and log entries any more; the other
// planners go on.
void failing_disks(PlannerClusterRun& run) {
    for (const DiskFault disk_fault : {DiskFault::failing_fsync, DiskFault::full}) {
        const char* const fault =
            disk_fault == DiskFault::failing_fsync ? "an fsync that fails" : "a full disk";
        const int leader = run.cluster.leader();
        run.set_disk_fault(leader, disk_fault);
        const Seconds from = net::clock_now();
        run.apply("take-away", {});  // a change that the leader has to store
        const auto status = run.wait_for_exit(leader);
        run.expect(status == kExitFatal,
                   fmt::format("{}: the planner did not exit with status 3", fault));
        run.expect(run.wait_for_log_text(leader, "can't promise any more", 1),
                   fmt::format("{}: the planner does not log why it exited", fault));
        run.add_figure(fmt::format("{}: exited after, s", fault), net::clock_now() - from);
        run.expect(run.wait_for_action(kRecoveryTimeout), fmt::format("{}: no holder acts", fault));
        run.set_disk_fault(leader, DiskFault::none);
        run.apply("start", {static_cast<double>(leader)});
        run.expect(
            run.cluster.run_until(kRecoveryTimeout, [&] { return run.cluster.is_healthy(); }),
            fmt::format("{}: the planners are not healthy afterwards", fault));
    }
}
namespace {

// With a slow disk a commit has written its pages by then, and its journal is still valid.
constexpr Seconds kPagesWrittenDelay = 1;

// Kills a planner while it stores a change, so that it leaves a valid journal.
void kill_while_storing(PlannerClusterRun& run, int planner) {
    run.set_disk_fault(planner, DiskFault::slow_fsync);
    run.apply("take-away", {});  // a change that each planner has to store
    run.cluster.run(kPagesWrittenDelay);
    run.apply("kill", {static_cast<double>(planner)});
    run.set_disk_fault(planner, DiskFault::none);
}

// Flips one bit in the middle of a row of the planner's database; returns false if there is no row.
// The row is located by its bytes, since its page is not known beforehand: the log may have just
// been compacted into a snapshot, and the last page may be empty.
bool flip_bit_of_row(const std::string& path) {
    constexpr const char* kSelectLargestRow =
        "SELECT bytes FROM (SELECT bytes FROM log UNION ALL SELECT bytes FROM kept) "
        "WHERE length(bytes) BETWEEN 8 AND 800 ORDER BY length(bytes) DESC LIMIT 1";
    std::string body;
    sqlite3* db = nullptr;
    sqlite3_stmt* statement = nullptr;
    if (sqlite3_open(path.c_str(), &db) == SQLITE_OK &&
        sqlite3_prepare_v2(db, kSelectLargestRow, -1, &statement, nullptr) == SQLITE_OK &&
        sqlite3_step(statement) == SQLITE_ROW) {
        body.assign(static_cast<const char*>(sqlite3_column_blob(statement, 0)),
                    static_cast<std::size_t>(sqlite3_column_bytes(statement, 0)));
    }
    sqlite3_finalize(statement);
    sqlite3_close(db);
    if (body.empty()) {
        return false;
    }
    std::string bytes;
    {
        std::ifstream file(path, std::ios::binary);
        bytes.assign(std::istreambuf_iterator<char>(file), {});
    }
    bool found = false;
    for (auto at = bytes.find(body); at != std::string::npos;
         at = bytes.find(body, at + body.size())) {
        bytes[at + body.size() / 2] ^= 0x10;
        found = true;
    }
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
    return found;
}

}  // namespace

// A planner whose database is truncated or has a flipped bit does not start, and logs that the
// database is damaged. Guards against damage that the journal of a killed planner undoes.
void damaged_disks(PlannerClusterRun& run) {
    for (const char* damage : {"cut", "altered"}) {
        const int leader = run.cluster.leader();
        const int planner = leader == 3 ? 4 : 3;
        kill_while_storing(run, planner);
        const std::string path = run.cluster.folder_of(planner) + "/planner.db";
        run.expect(roll_back_journal(path),
                   fmt::format("{}: the journal can't be rolled back", damage));
        if (*damage == 'c') {
            std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3000);
        } else {
            run.expect(flip_bit_of_row(path), "altered: the database has no row to alter");
        }
        run.apply("start", {static_cast<double>(planner)});
        const auto status = run.wait_for_exit(planner);
        run.expect(
            status == 1,
            fmt::format(
                "{}: the planner did not exit with status 1 although its database is damaged",
                damage));
        run.expect(
            run.wait_for_log_text(planner, "is damaged", 1) ||
                run.wait_for_log_text(planner, "malformed", 1),
            fmt::format("{}: the planner does not log that its database is damaged", damage));
        // The operator's procedure: remove the folder, start the planner, admit it.
        run.apply("wipe", {static_cast<double>(planner)});
        run.apply("start", {static_cast<double>(planner)});
        run.cluster.run(2);
        run.apply("admit", {static_cast<double>(planner)});
        run.expect(
            run.cluster.run_until(kRecoveryTimeout, [&] { return run.cluster.is_healthy(); }),
            fmt::format("{}: the planners are not healthy afterwards", damage));
    }
}
// The planners' wall clocks are set back by an hour. Leases do not depend on the wall clock, so the
// holder keeps its lease.
void clock_set_back(PlannerClusterRun& run) {
    const std::size_t from = run.cluster.actions.size();
    const int holder = run.wait_for_holder();
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        run.set_disk_fault(i, DiskFault::clock_back);
    }
    run.cluster.run(3 * kLeaseDuration);
    run.expect(run.wait_for_holder() == holder, "the lease changed hands");
    run.add_figure("longest time without an action, s", run.longest_gap(from));
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        run.set_disk_fault(i, DiskFault::none);
    }
}

}  // namespace tideline::fault_tests
