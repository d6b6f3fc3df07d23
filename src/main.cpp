// The command line of tideline. Each sub-command is implemented in a file of its own under cli/.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "cli/audit.hpp"
#include "cli/check.hpp"
#include "cli/lease.hpp"
#include "cli/planner.hpp"
#include "cli/replication.hpp"
#include "cli/sidecar.hpp"

namespace {

using namespace tideline;

constexpr int kExitUsage = 2;
constexpr int kExitError = 1;

void add_log_format(CLI::App& app, net::Log::Form& form) {
    app.add_flag(
        "--log-json", [&form](auto) { form = net::Log::Form::json; },
        "write the log as one JSON object a line");
}

void add_sidecar_options(CLI::App& app, cli::SidecarCommand& command) {
    app.add_option("--config", command.config_path, "configuration of the sidecar, a JSON file")
        ->envname("PROXY_CONFIG");
    app.add_option("--cluster-config,--fleet", command.cluster_config_path,
                   "operator file of the cluster; without it the sidecar joins no cluster")
        ->envname("TIDELINE_FLEET");
    add_log_format(app, command.log_form);
}

// Adds the options of every sub-command that queries a member or a planner. `target` names the kind
// of process that is queried, for the help text.
void add_query_options(CLI::App& app, std::string& address, Seconds& timeout,
                       const std::string& target) {
    app.add_option("--address,--at", address, "host:port of any " + target)->required();
    app.add_option("--timeout,--within", timeout, "seconds to wait for the answer")
        ->capture_default_str();
}

void add_json_flag(CLI::App& app, bool& json) {
    app.add_flag("--json", json, "print one JSON object");
}

template <class Command>
void add_member_options(CLI::App& app, Command& command) {
    add_query_options(app, command.address, command.timeout, "member");
    add_json_flag(app, command.json);
}

// Defines the sub-commands, holds the values of their options and executes the one that was given.
class CommandLine {
  public:
    CommandLine() : app_("Routes requests over endpoints and judges builds on trial.", "tideline") {
        app_.require_subcommand(0, 1);
        add_sidecar_command();
        add_member_queries();
        add_replication_command();
        add_check_command();
        add_planner_command();
        add_lease_queries();
        add_planner_queries();
    }
    // Throws CLI::ParseError.
    void parse(int argc, char** argv) {
        app_.parse(argc, argv);
    }
    // Prints the error, or the help text if that was requested. Returns the exit status.
    int report_parse_error(const CLI::ParseError& error) {
        return app_.exit(error) == 0 ? 0 : kExitUsage;
    }
    // Executes the given sub-command; without one, runs a sidecar. Returns the exit status.
    int run();

  private:
    using LeaseAction = cli::LeaseCommand::Action;

    void add_sidecar_command();
    void add_member_queries();
    void add_replication_command();
    void add_check_command();
    void add_planner_command();
    void add_lease_queries();
    void add_planner_queries();
    CLI::App& add_planner_query(CLI::App& parent, const std::string& name, const std::string& help,
                                LeaseAction action);

    CLI::App app_;
    cli::SidecarCommand sidecar_command_;
    cli::AuditCommand audit_command_;
    cli::ReplicationCommand replication_command_;
    std::string checked_file_;
    cli::PlannerCommand planner_command_;
    cli::LeaseCommand lease_command_;
    CLI::App* audit_ = nullptr;
    CLI::App* members_ = nullptr;
    CLI::App* replication_ = nullptr;
    CLI::App* check_ = nullptr;
    CLI::App* planner_ = nullptr;
    CLI::App* leases_ = nullptr;
    CLI::App* planners_ = nullptr;
};

void CommandLine::add_sidecar_command() {
    add_sidecar_options(app_, sidecar_command_);
    CLI::App* sidecar =
        app_.add_subcommand("sidecar", "run one sidecar; the same as no sub-command");
    add_sidecar_options(*sidecar, sidecar_command_);
}

void CommandLine::add_member_queries() {
    audit_ =
        app_.add_subcommand("audit",
                            "show the versions that each member acts on; exit status 1: members "
                            "lag behind, 2: some members could not be queried");
    add_member_options(*audit_, audit_command_);
    audit_->add_option("--since", audit_command_.since,
                       "show epochs that ended after this Unix time; a negative value counts back "
                       "from now, in seconds");
    audit_->add_option("--build", audit_command_.build, "show epochs that acted on this build");
    members_ = app_.add_subcommand("members", "list the members as one of them knows them");
    add_member_options(*members_, audit_command_);
}

void CommandLine::add_replication_command() {
    replication_ = app_.add_subcommand("replication",
                                       "show the replicas of each shard and their repair; exit "
                                       "status 1: replicas are missing, 2: shards are unavailable");
    replication_->alias("holdings");
    add_member_options(*replication_, replication_command_);
    replication_->add_option("--key", replication_command_.key,
                             "OPERATION,CUSTOMER,FINGERPRINT: show the record of one request");
    replication_->add_option("--epochs", replication_command_.epochs_of,
                             "name of a member: show its audit epochs as other members store them");
    replication_->add_option(
        "--remove-member,--give-up", replication_command_.removed_member,
        "name of a member that will not come back: its replicas count as lost");
}

void CommandLine::add_check_command() {
    check_ = app_.add_subcommand("check", "print every error in an operator file");
    check_->add_option("file", checked_file_, "the operator file")->required();
}

void CommandLine::add_planner_command() {
    planner_ = app_.add_subcommand(
        "planner", "run one planner, which replicates the leases with the other planners");
    planner_
        ->add_option("--config,--file", planner_command_.config_path,
                     "operator file of the planner")
        ->required();
    planner_->add_flag(
        "--bootstrap,--found", planner_command_.founds_cluster,
        "start a new cluster with this planner as its first; its folder has to be empty");
    add_log_format(*planner_, planner_command_.log_form);
}

// Adds a sub-command that sends a request to a planner. Parsing it sets the action.
CLI::App& CommandLine::add_planner_query(CLI::App& parent, const std::string& name,
                                         const std::string& help, LeaseAction action) {
    CLI::App* query = parent.add_subcommand(name, help);
    add_query_options(*query, lease_command_.address, lease_command_.timeout, "planner");
    query->callback([this, action] { lease_command_.action = action; });
    return *query;
}

void CommandLine::add_lease_queries() {
    leases_ = app_.add_subcommand("lease", "show or revoke the leases of the cluster's tasks");
    leases_->require_subcommand(1);
    CLI::App& list =
        add_planner_query(*leases_, "list", "holders, fencing tokens, candidates, former holders",
                          LeaseAction::list_leases);
    add_json_flag(list, lease_command_.json);
    CLI::App& revoke = add_planner_query(
        *leases_, "revoke", "stop renewing a lease; another member acquires it once it has expired",
        LeaseAction::revoke_lease);
    revoke.alias("take-away");
    revoke.add_option("name", lease_command_.name, "the lease")->required();
}

void CommandLine::add_planner_queries() {
    planners_ = app_.add_subcommand("planners", "show the planners, admit or remove one");
    planners_->require_subcommand(1);
    CLI::App& list = add_planner_query(
        *planners_, "list", "voters, the leader, unreachable planners, planners to be admitted",
        LeaseAction::list_planners);
    add_json_flag(list, lease_command_.json);
    CLI::App& admit = add_planner_query(
        *planners_, "admit",
        "make a waiting planner a voter, in place of its former disk if it had one",
        LeaseAction::admit_planner);
    admit.add_option("name", lease_command_.name, "the planner")->required();
    CLI::App& remove = add_planner_query(*planners_, "remove", "remove a planner for good",
                                         LeaseAction::remove_planner);
    remove.add_option("name", lease_command_.name, "the planner")->required();
}

int CommandLine::run() {
    audit_command_.show_versions = audit_->parsed();
    if (audit_->parsed() || members_->parsed()) {
        return cli::show_members(audit_command_);
    }
    if (replication_->parsed()) {
        return cli::show_replication(replication_command_);
    }
    if (check_->parsed()) {
        return cli::check_operator_file(checked_file_);
    }
    if (planner_->parsed()) {
        return cli::run_planner(planner_command_);
    }
    if (leases_->parsed() || planners_->parsed()) {
        return cli::run_lease_command(lease_command_);
    }
    if (sidecar_command_.config_path.empty()) {
        std::fprintf(stderr,
                     "tideline: no configuration: give its path in --config or PROXY_CONFIG\n");
        return kExitUsage;
    }
    return cli::run_sidecar(sidecar_command_);
}

}  // namespace

int main(int argc, char** argv) {
    CommandLine command_line;
    try {
        command_line.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return command_line.report_parse_error(error);
    }
    try {
        return command_line.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tideline: %s\n", error.what());
        return kExitError;
    }
}
