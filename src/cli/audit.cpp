#include "cli/audit.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <vector>

#include "cli/query.hpp"
#include "cluster/member_query.hpp"

namespace tideline::cli {
namespace {

using namespace tideline::cluster;
using nlohmann::ordered_json;

constexpr int kExitAllCurrent = 0;
constexpr int kExitStragglers = 1;
constexpr int kExitUnknown = 2;

const char* phase_name(std::uint32_t phase) {
    constexpr std::array kNames = {"trial", "reverting", "released", "withdrawn"};
    return phase < kNames.size() ? kNames.at(phase) : "?";
}
// Decodes the rank of a release status, which rank_of() in cluster/types.hpp packs from build,
// phase and stage.
std::string release_status_text(std::uint64_t rank) {
    constexpr std::array kPhases = {"trial", "released", "reverting", "withdrawn"};
    return fmt::format("build {} {} stage {}", rank >> 20, kPhases.at(rank >> 16 & 3),
                       rank & 0xffff);
}
const char* participation_name(std::uint32_t trial_participation) {
    constexpr std::array kNames = {"open", "first stage", "no trial"};
    return trial_participation < kNames.size() ? kNames.at(trial_participation) : "?";
}
std::string utc_text(double unix_time) {
    return fmt::format("{:%Y-%m-%d %H:%M:%S}", fmt::gmtime(static_cast<std::time_t>(unix_time)));
}
std::string seconds_text(Seconds seconds) {
    return fmt::format("{:.1f} s", seconds);
}
std::string versions_text(const wire::Epoch& epoch) {
    return fmt::format("list {}, build {} {} stage {} cap {:.2f}", epoch.list(), epoch.build(),
                       phase_name(epoch.phase()), epoch.stage(), epoch.cap());
}
std::string counts_text(const wire::Counts& counts) {
    return fmt::format("trial {}, earlier {}, votes on {} back {}, marks {}, drains {}",
                       counts.trial(), counts.earlier(), counts.on_votes(), counts.back_votes(),
                       counts.marks(), counts.drains());
}
// Describes what is unusual about a member; empty if nothing is.
std::string remarks_text(const wire::Row& row) {
    std::vector<std::string> remarks;
    if (!row.fault().empty()) {
        remarks.push_back(row.fault());
    }
    if (row.has_record() && row.record().open().stand() > 0) {
        remarks.push_back(
            fmt::format("stand: {}", participation_name(row.record().open().stand())));
    }
    if (row.has_record() && row.record().has_fold()) {
        remarks.push_back(fmt::format("{} older epochs folded", row.record().fold().epochs()));
    }
    return fmt::format("{}", fmt::join(remarks, "; "));
}
ordered_json json_of(const wire::Counts& counts) {
    return {{"trial", counts.trial()},       {"earlier", counts.earlier()},
            {"on_votes", counts.on_votes()}, {"back_votes", counts.back_votes()},
            {"marks", counts.marks()},       {"drains", counts.drains()}};
}
ordered_json json_of(const wire::Epoch& epoch) {
    return {{"number", epoch.number()},
            {"from", epoch.from()},
            {"to", epoch.to()},
            {"list", epoch.list()},
            {"build", epoch.build()},
            {"stage", epoch.stage()},
            {"phase", phase_name(epoch.phase())},
            {"cap", epoch.cap()},
            {"stand", participation_name(epoch.stand())},
            {"program", epoch.program()},
            {"told", epoch.told()},
            {"counts", json_of(epoch.counts())}};
}

// The members that are not up to date, and the exit status that results from them.
struct Findings {
    std::vector<std::string> stragglers;  // they act on old versions, or their history is broken
    std::vector<std::string> unknown;     // they could not be queried
    int exit_status = kExitAllCurrent;
};

Findings find_deviations(const MembersQuery& query) {
    Findings findings;
    for (const wire::Row& row : query.rows) {
        const std::string& state = row.state();
        if (!row.fault().empty() || state == "straggler" || state == "shut out") {
            findings.stragglers.push_back(row.entry().name());
        } else if (state != "current" && state != "behind" && state != "left") {
            findings.unknown.push_back(row.entry().name());
        }
    }
    if (!findings.unknown.empty() || !query.complete) {
        findings.exit_status = kExitUnknown;
    } else if (!findings.stragglers.empty()) {
        findings.exit_status = kExitStragglers;
    }
    return findings;
}

// Prints the answer as text or as JSON. Holds references to the command and the query, which must
// outlive it.
class AuditReport {
  public:
    AuditReport(const AuditCommand& command, const MembersQuery& query)
        : command_(command), query_(query), since_(command.since.value_or(0)) {
        if (since_ < 0) {
            since_ += query.last_answer.now();
        }
    }
    void print(const Findings& findings) const {
        const wire::Fleet& answer = query_.last_answer;
        fmt::print("asked {} at {}; floor: list {}, {}\n", answer.asked(), utc_text(answer.now()),
                   answer.floor_list(), release_status_text(answer.floor_news()));
        fmt::print("{:12} {:10} {:>14} {:11} {:44} {:>8} {:>8} {:>8}  {}\n", "member", "place",
                   "life", "state", "acts on", "for", "behind", "heard", "");
        for (const wire::Row& row : query_.rows) {
            print_member(row);
            for (const wire::Epoch* epoch : selected_epochs(row)) {
                print_epoch(*epoch);
            }
        }
        if (command_.show_versions) {
            print_findings(findings);
        }
    }
    void print_json(const Findings& findings) const {
        const wire::Fleet& answer = query_.last_answer;
        ordered_json object = {
            {"asked", answer.asked()},           {"now", answer.now()},
            {"floor_list", answer.floor_list()}, {"floor_news", answer.floor_news()},
            {"status", findings.exit_status},    {"whole", query_.complete},
            {"stragglers", findings.stragglers}, {"untold", findings.unknown},
            {"members", ordered_json::array()}};
        for (const wire::Row& row : query_.rows) {
            object["members"].push_back(json_of_member(row));
        }
        fmt::print("{}\n", object.dump(1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

  private:
    void print_member(const wire::Row& row) const {
        const wire::Epoch& open = row.record().open();
        std::string versions = "-";
        std::string versions_age = "-";
        if (row.has_record()) {
            versions = versions_text(open);
            versions_age = seconds_text(query_.last_answer.now() - open.from());
        } else if (!command_.show_versions) {
            versions = fmt::format("list {} at least", row.entry().list());
        }
        fmt::print("{:12} {:10} {:>14} {:11} {:44} {:>8} {:>8} {:>8}  {}\n", row.entry().name(),
                   row.entry().place(), row.entry().life(), row.state(), versions, versions_age,
                   row.behind() > 0 ? seconds_text(row.behind()) : "-",
                   row.heard_ago() < 0 ? "never" : seconds_text(row.heard_ago()),
                   remarks_text(row));
    }
    static void print_epoch(const wire::Epoch& epoch) {
        fmt::print("    epoch {:>5}  {} to {}  {}; {}\n", epoch.number(), utc_text(epoch.from()),
                   epoch.to() > 0 ? utc_text(epoch.to()) : "now", versions_text(epoch),
                   counts_text(epoch.counts()));
    }
    void print_findings(const Findings& findings) const {
        if (findings.exit_status == kExitAllCurrent) {
            fmt::print("all current\n");
        }
        if (!findings.stragglers.empty()) {
            fmt::print("stragglers: {}\n", fmt::join(findings.stragglers, ", "));
        }
        if (!findings.unknown.empty()) {
            fmt::print("state unknown: {}\n", fmt::join(findings.unknown, ", "));
        }
        if (!query_.complete) {
            fmt::print("the answer is incomplete: {}\n", query_.error);
        }
    }
    ordered_json json_of_member(const wire::Row& row) const {
        ordered_json member = {{"member", row.entry().name()},
                               {"place", row.entry().place()},
                               {"address", row.entry().address()},
                               {"life", row.entry().life()},
                               {"disk", row.entry().disk()},
                               {"state", row.state()},
                               {"behind", row.behind()},
                               {"heard_ago", row.heard_ago()},
                               {"fault", row.fault()}};
        if (!row.has_record()) {
            return member;
        }
        member["acts_on"] = json_of(row.record().open());
        if (row.record().has_fold()) {
            const auto& folded = row.record().fold();
            member["folded"] = {{"epochs", folded.epochs()},
                                {"from", folded.from()},
                                {"to", folded.to()},
                                {"counts", json_of(folded.counts())}};
        }
        for (const wire::Epoch* epoch : selected_epochs(row)) {
            member["epochs"].push_back(json_of(*epoch));
        }
        return member;
    }
    bool is_selected(const wire::Epoch& epoch) const {
        const bool in_time = !command_.since || epoch.to() == 0 || epoch.to() >= since_;
        return in_time && (!command_.build || epoch.build() == *command_.build);
    }
    // Returns the epochs to show, which are none unless the command selects epochs by time or
    // build.
    std::vector<const wire::Epoch*> selected_epochs(const wire::Row& row) const {
        std::vector<const wire::Epoch*> epochs;
        if (!row.has_record() || (!command_.since && !command_.build)) {
            return epochs;
        }
        for (const wire::Epoch& epoch : row.record().epochs()) {
            if (is_selected(epoch)) {
                epochs.push_back(&epoch);
            }
        }
        if (is_selected(row.record().open())) {
            epochs.push_back(&row.record().open());
        }
        return epochs;
    }

    const AuditCommand& command_;
    const MembersQuery& query_;
    double since_;  // Unix time; used only if the command sets `since`
};

}  // namespace

int show_members(const AuditCommand& command) {
    net::EventLoop loop;
    MembersQuery query(loop, parse_query_address(command.address), command.show_versions);
    await_answer(loop, query, command.timeout);
    if (query.rows.empty()) {
        fmt::print(stderr, "tideline: {} does not answer: {}\n", command.address,
                   query.complete ? "it is busy with other audits" : query.error);
        return kExitUnknown;
    }
    std::sort(query.rows.begin(), query.rows.end(), [](const auto& left, const auto& right) {
        return left.entry().name() < right.entry().name();
    });
    const AuditReport report(command, query);
    const Findings findings = find_deviations(query);
    if (command.json) {
        report.print_json(findings);
    } else {
        report.print(findings);
    }
    if (command.show_versions) {
        return findings.exit_status;
    }
    return query.complete ? kExitAllCurrent : kExitUnknown;
}

}  // namespace tideline::cli
