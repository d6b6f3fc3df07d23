// Replication scenarios: disks that fail, are full or corrupt records.

#include <fstream>
#include <iterator>

#include "fault_tests/database_journal.hpp"
#include "fault_tests/replication_scenario_list.hpp"

namespace tideline::fault_tests {

using namespace fakes;

// An fsync fails, or the disk is full. The member logs that and stores no records any more, but
// still serves charges with the replicas on other members.
void failing_disks(ReplicationFleet& fleet) {
    for (const DiskFault disk_fault : {DiskFault::failing_fsync, DiskFault::full}) {
        const int member = fleet.busiest_member(true);
        fleet.set_disk_fault(member, disk_fault);
        fleet.expect(fleet.wait_until(6,
                                      [&] {
                                          return fleet.sidecars.log_of(member).find(
                                                     "replica disk failed: reason=") !=
                                                 std::string::npos;
                                      }),
                     "the member does not log that its disk failed");
        fleet.run(1.5);
        const std::size_t request = fleet.clients.submit("charge", member - 1, false);
        fleet.run(1.2);
        fleet.expect(
            fleet.clients.requests[request].attempts[0].result == CallResult::succeeded,
            "a member with a failed disk does not serve charges with the other members' replicas");
        fleet.set_disk_fault(member, DiskFault::none);
        fleet.apply("kill", {static_cast<double>(member)});
        fleet.apply("start", {static_cast<double>(member)});
        fleet.expect(fleet.wait_until_complete(), "the replicas were not completed again");
    }
}

// A lost machine starts again while its disk is slow. Guards against taking a process that does not
// listen yet for one that leaves requests unanswered: until it listens its clients are refused
// connections, and from then on each request is answered.
void slow_disk_at_start(ReplicationFleet& fleet) {
    const int member = fleet.busiest_member(true);
    fleet.lose_machine(member);
    fleet.set_disk_fault(member, DiskFault::slow_fsync);
    fleet.apply("start", {static_cast<double>(member)});
    const Seconds from = net::clock_now();
    fleet.wait_until(kMaxRestartTime, [&] { return fleet.sidecars.is_listening(member); });
    const Seconds start_time = net::clock_now() - from;
    fleet.expect(start_time > kServiceStartTimeout + fleet.clients.time_limit,
                 "the disk did not slow the start down");
    fleet.figures.emplace_back("start with a slow disk, s", start_time);
    fleet.set_disk_fault(member, DiskFault::none);
    fleet.run(2);
}

namespace {

// Flips one bit of a stored row; returns false if there is no row. Rows exist as long as charges
// arrive.
bool flip_bit_of_row(const std::string& path) {
    std::string bytes;
    {
        std::ifstream file(path, std::ios::binary);
        bytes.assign(std::istreambuf_iterator<char>(file), {});
    }
    const auto at = bytes.rfind("value of ");
    if (at == std::string::npos) {
        return false;
    }
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(at + 3)).put(static_cast<char>(bytes[at + 3] ^ 0x10));
    return file.good();
}

}  // namespace

// A corrupted row is detected and fetched again from another replica: first when the member starts,
// then by the scrub while a member serves.
void altered_record(ReplicationFleet& fleet) {
    const int member = fleet.busiest_member(false);
    const std::string path = fleet.sidecars.folder_of(member) + "/held.db";
    fleet.apply("kill", {static_cast<double>(member)});
    fleet.expect(roll_back_journal(path), "the journal can't be rolled back");
    fleet.expect(flip_bit_of_row(path), "the database has no row to alter");
    fleet.apply("start", {static_cast<double>(member)});
    const auto reports_corruption = [&](int reporter) {
        return fleet.sidecars.log_of(reporter).find("shard corrupt: shard=") != std::string::npos;
    };
    fleet.expect(fleet.wait_until(4, [&] { return reports_corruption(member); }),
                 "the member does not log that a shard is corrupt");
    fleet.expect(fleet.wait_until_complete(),
                 "the corrupted record was not fetched again from another replica");
    int other = member;
    for (int i = 1; i <= fleet.options.members && other == member; ++i) {
        if (i != member && fleet.table() && i != member) {
            other = i;
        }
    }
    fleet.expect(flip_bit_of_row(fleet.sidecars.folder_of(other) + "/held.db"),
                 "the database has no row to alter");
    // A row that is written again before the scrub reads it is correct again. Another row is
    // corrupted then.
    fleet.expect(fleet.wait_until(15,
                                  [&] {
                                      if (reports_corruption(other)) {
                                          return true;
                                      }
                                      flip_bit_of_row(fleet.sidecars.folder_of(other) + "/held.db");
                                      return false;
                                  }),
                 "the scrub does not detect the corrupted record");
    fleet.expect(fleet.wait_until_complete(),
                 "the corrupted record was not fetched again from another replica");
}

}  // namespace tideline::fault_tests
