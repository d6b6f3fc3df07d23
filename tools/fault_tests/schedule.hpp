// Events of a fault test with their times in seconds, one per line, read from a file or drawn from
// a seed. Members are numbered from 1.
//   2.5 kill 3            kills the process (SIGKILL)
//   2.5 start 3           starts the process
//   2.5 wipe 3            removes its folder
//   2.5 term 3            shuts the process down (SIGTERM)
//   2.5 stop 3            stops the process (SIGSTOP)
//   2.5 go 3              resumes the process (SIGCONT)
//   2.5 cut 1 2           cuts the link from 1 to 2, in this direction only
//   2.5 heal 1 2          heals the link from 1 to 2; "heal" without members heals all links
//   2.5 split 6           cuts all links between the members up to 6 and the others, both ways
//   2.5 slow 3 3.0        delays all that the member sends and receives by 3 s
//   2.5 mute 3            discovery and release platform send it no changes
//   2.5 speak 3           ends the mute
//   2.5 lie 3             its discovery sends revisions that the endpoint list never had
//   2.5 pod               adds an endpoint
//   2.5 drain             one endpoint starts draining
//   2.5 offer 42          the release platform offers a build
//   2.5 stage 1           the release platform moves the build to a stage
//   2.5 back              the release platform rolls the build back
//   2.5 release           the release platform releases the build
// With --leases the members are the planners, then the lease holders, and these events are added:
//   2.5 mark 7            the holder stops itself once between guard and action, until "go 7"
//   2.5 release-task 7    the holder releases its lease and acquires it again later
//   2.5 take-away         an operator revokes the lease
//   2.5 admit 2           an operator admits a planner whose disk was lost
//   2.5 disk 2 1          sets a fault of the planner's disk or clock: 0 none, 1 each fsync fails,
//                         2 the disk is full, 3 the wall clock is an hour behind, 4 each fsync is
//                         slow
// "disk" also applies to sidecars with replication.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace tideline::fault_tests {

struct Event {
    Seconds at = 0;
    std::string action;
    std::vector<double> arguments;
    // Returns the argument as a whole number; 0 if there is none.
    int argument(std::size_t index) const {
        return index < arguments.size() ? static_cast<int>(arguments[index]) : 0;
    }
};

// A fault of a process's disk or clock, as the event "disk" numbers it.
enum class DiskFault { none, failing_fsync, full, clock_back, slow_fsync };

// Returns the name of the fault in the library with disk faults (faulty_disk.cpp); empty if there
// is no such fault.
const char* disk_fault_name(DiskFault fault);

// Formats the event as a line of a schedule.
std::string text_of(const Event& event);
// Sorts events by time; events of the same time keep their order.
void sort_by_time(std::vector<Event>& events);
// Parses a schedule and sorts it by time. Throws std::runtime_error with the number of an invalid
// line.
std::vector<Event> read_schedule(const std::string& text, int members);
// Generates random faults from a seed over `length` seconds.
std::vector<Event> random_sidecar_schedule(std::uint32_t seed, int members, Seconds length);

}  // namespace tideline::fault_tests
