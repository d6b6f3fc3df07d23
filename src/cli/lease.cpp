#include "cli/lease.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "cli/query.hpp"
#include "lease/types.hpp"
#include "planner/planner_query.hpp"

namespace tideline::cli {
namespace {

using nlohmann::ordered_json;

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUnknown = 2;

std::string utc_text(double unix_time) {
    if (unix_time <= 0) {
        return "-";
    }
    return fmt::format("{:%Y-%m-%d %H:%M:%S}", fmt::gmtime(static_cast<std::time_t>(unix_time)));
}
const char* end_name(std::uint32_t end) {
    constexpr std::array kNames = {"held", "given back", "expired", "unclaimed", "taken away"};
    return end < kNames.size() ? kNames.at(end) : "?";
}
ordered_json json_of(const wire::HoldingState& holding) {
    return {{"fence", holding.fence()},
            {"holder", holding.holder().name()},
            {"life", holding.holder().life()},
            {"from", holding.from()},
            {"to", holding.to()},
            {"ended", end_name(holding.end())}};
}
ordered_json json_of(const wire::PlannerTable& table) {
    ordered_json object = {{"asked", table.asked()},       {"leader", table.leader()},
                           {"reign", table.reign()},       {"committed", table.committed()},
                           {"snapshot", table.snapshot()}, {"last", table.last()},
                           {"stale", table.stale()}};
    for (const auto& row : table.planners()) {
        object["planners"].push_back({{"name", row.seat().name()},
                                      {"address", row.seat().address()},
                                      {"state", row.state()},
                                      {"reached", row.reached()},
                                      {"heard_ago", row.heard_ago()}});
    }
    for (const auto& lease : table.leases()) {
        ordered_json row = {
            {"lease", lease.name()},
            {"now", lease.now().fence() > 0 ? json_of(lease.now()) : ordered_json()},
            {"left", lease.left()},
            {"withdrawn", lease.withdrawn()},
            {"waiting", ordered_json::array()},
            {"past", ordered_json::array()}};
        for (const auto& candidate : lease.waiting()) {
            row["waiting"].push_back(candidate.name());
        }
        for (const auto& past : lease.past()) {
            row["past"].push_back(json_of(past));
        }
        object["leases"].push_back(std::move(row));
    }
    for (const auto& alarm : table.raised()) {
        object["raised"].push_back({{"lease", alarm.lease()},
                                    {"key", alarm.key()},
                                    {"fence", alarm.fence()},
                                    {"since", alarm.since()},
                                    {"text", alarm.text()}});
    }
    return object;
}
void print_planners(const wire::PlannerTable& table) {
    fmt::print("asked {}; leader {}, reign {}, {} records committed, snapshot at {}\n",
               table.asked(), table.leader().empty() ? "none known" : table.leader(), table.reign(),
               table.committed(), table.snapshot());
    fmt::print("{:12} {:22} {:8} {:>10} {:>8}\n", "planner", "address", "state", "has", "heard");
    for (const auto& row : table.planners()) {
        fmt::print("{:12} {:22} {:8} {:>10} {:>8}\n", row.seat().name(), row.seat().address(),
                   row.state(), row.reached() > 0 ? std::to_string(row.reached()) : "-",
                   row.heard_ago() < 0 ? "-" : fmt::format("{:.1f} s", row.heard_ago()));
    }
}
void print_leases(const wire::PlannerTable& table) {
    fmt::print("{:16} {:12} {:>10} {:20} {:>8} {}\n", "lease", "holder", "fence", "since", "left",
               "waiting");
    for (const auto& lease : table.leases()) {
        const bool held = lease.now().fence() > 0;
        std::string waiting;
        for (const auto& candidate : lease.waiting()) {
            waiting += (waiting.empty() ? "" : " ") + candidate.name();
        }
        fmt::print("{:16} {:12} {:>10} {:20} {:>8} {}{}\n", lease.name(),
                   held ? lease.now().holder().name() : "-",
                   held ? std::to_string(lease.now().fence()) : "-", utc_text(lease.now().from()),
                   held ? fmt::format("{:.1f} s", lease.left()) : "-", waiting,
                   lease.withdrawn()
                       ? " (revoked: the next candidate acquires it once it has expired)"
                       : "");
        const std::vector<wire::HoldingState> newest_first(lease.past().rbegin(),
                                                           lease.past().rend());
        for (const wire::HoldingState& past : newest_first) {
            fmt::print("{:16} {:12} {:>10} {:20} to {}, {}\n", "", past.holder().name(),
                       past.fence(), utc_text(past.from()), utc_text(past.to()),
                       end_name(past.end()));
        }
    }
    for (const auto& alarm : table.raised()) {
        fmt::print("ALARM of {} under fence {} since {}: {}\n", alarm.lease(), alarm.fence(),
                   utc_text(alarm.since()), alarm.text());
    }
}

using Request = wire::LeaseAsk;

Request request_of(const LeaseCommand& command) {
    Request request;
    switch (command.action) {
        case LeaseCommand::Action::list_leases:
        case LeaseCommand::Action::list_planners:
            request.set_what(Request::TABLE);
            break;
        case LeaseCommand::Action::revoke_lease:
            request.set_what(Request::TAKE_AWAY);
            request.set_lease(command.name);
            break;
        case LeaseCommand::Action::admit_planner:
            request.set_what(Request::ADMIT);
            request.set_key(command.name);
            break;
        case LeaseCommand::Action::remove_planner:
            request.set_what(Request::REMOVE);
            request.set_key(command.name);
            break;
    }
    return request;
}

// Sends the request to the planner. If no valid answer arrives in time, prints the reason and
// returns nothing.
std::optional<wire::LeaseAnswer> ask_planner(const LeaseCommand& command,
                                             const net::Address& address) {
    net::EventLoop loop;
    planner::PlannerQuery query(loop, address, request_of(command));
    await_answer(loop, query, command.timeout);
    if (!query.answered) {
        fmt::print(stderr, "tideline: {}: {}\n", command.address, query.error);
        return std::nullopt;
    }
    if (static_cast<lease::Answer>(query.answer.what()) == lease::Answer::not_now) {
        fmt::print(stderr, "tideline: {}: no leader is known, or the leader changed: ask again\n",
                   command.address);
        return std::nullopt;
    }
    return query.answer;
}

// Prints the table and returns the exit status.
int show_table(const LeaseCommand& command, const wire::PlannerTable& table) {
    if (table.stale()) {
        fmt::print(stderr, "tideline: {} knows of no leader: the table may be stale\n",
                   command.address);
    }
    if (command.json) {
        const auto replace = nlohmann::json::error_handler_t::replace;
        fmt::print("{}\n", json_of(table).dump(1, ' ', false, replace));
    } else if (command.action == LeaseCommand::Action::list_planners) {
        print_planners(table);
    } else {
        print_leases(table);
    }
    return table.stale() ? kExitUnknown : kExitDone;
}

}  // namespace

int run_lease_command(const LeaseCommand& command) {
    const auto answer = ask_planner(command, parse_query_address(command.address));
    if (!answer) {
        return kExitUnknown;
    }
    if (static_cast<lease::Answer>(answer->what()) == lease::Answer::refused) {
        fmt::print(stderr, "tideline: refused: {}\n", answer->why());
        return kExitRefused;
    }
    switch (command.action) {
        case LeaseCommand::Action::list_leases:
        case LeaseCommand::Action::list_planners:
            return show_table(command, answer->table());
        case LeaseCommand::Action::revoke_lease:
            fmt::print(
                "revoked: the lease is no longer renewed; it is granted again once it has "
                "expired\n");
            break;
        case LeaseCommand::Action::admit_planner:
            fmt::print("admitted: the planner catches up first and then votes\n");
            break;
        case LeaseCommand::Action::remove_planner:
            fmt::print("removed\n");
            break;
    }
    return kExitDone;
}

}  // namespace tideline::cli
