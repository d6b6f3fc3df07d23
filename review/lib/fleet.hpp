// A fleet of sidecars with planners and replication, started by the commands of the operators'
// pages. The operator files hold the figures of the commented samples under deploy/ unless a case
// says otherwise.
#pragma once

#include "harness.hpp"

namespace harness {

class Fleet {
  public:
    struct Options {
        int members = 4;
        int copies = 2;
        std::string otherwise = "throttle";
        std::string membership = "period = 1.0; answer_wait = 0.3; regain_every = 5.0;";
    };
    // `config_of(member, its port for clients)` returns the configuration of a sidecar.
    using ConfigOf = std::function<std::string(int member, std::uint16_t listen)>;

    Fleet(std::string root, Record& record, const Options& options, ConfigOf config_of)
        : root_(std::move(root)),
          record_(record),
          options_(options),
          config_of_(std::move(config_of)),
          planners_(3),
          sidecars_(static_cast<std::size_t>(options.members)) {
        for (int i = 0; i < 3; ++i) {
            planner_ports_.push_back(free_port());
        }
        for (int i = 0; i < options.members; ++i) {
            client_ports_.push_back(free_port());
            member_ports_.push_back(free_port());
        }
    }
    // Starts all and waits until every shard has its replicas. Returns false if that takes too long.
    bool start(double seconds) {
        const double until = now() + seconds;
        for (int i = 0; i < 3; ++i) {
            write_file(path("p", i) + ".cfg", planner_file(i));
            planners_[static_cast<std::size_t>(i)].start(
                root_,
                "exec build/tideline planner --config " + path("p", i) + ".cfg" +
                    (i == 0 ? " --bootstrap" : ""),
                path("p", i) + ".log");
        }
        for (int i = 0; i < options_.members; ++i) {
            start_member(i);
        }
        for (int i = 0; i < options_.members; ++i) {
            if (!wait_until_ready(client_port(i), until - now())) {
                return false;
            }
        }
        while (now() < until) {
            if (replication_status(0) == 0) {
                return true;
            }
            sleep_for(0.2);
        }
        return false;
    }
    void start_member(int member) {
        write_file(path("n", member) + ".json", config_of_(member, client_port(member)));
        write_file(path("n", member) + ".cfg", member_file(member));
        sidecar(member).start(root_,
                              "exec build/tideline sidecar --config " + path("n", member) +
                                  ".json --fleet " + path("n", member) + ".cfg",
                              path("n", member) + ".log");
    }
    Program& sidecar(int member) {
        return sidecars_[static_cast<std::size_t>(member)];
    }
    Program& planner(int number_of_planner) {
        return planners_[static_cast<std::size_t>(number_of_planner)];
    }
    std::uint16_t client_port(int member) const {
        return client_ports_[static_cast<std::size_t>(member)];
    }
    // The exit status of `tideline replication` asked at a member: 0 if all shards are complete.
    int replication_status(int member) const {
        const std::string command =
            "cd '" + root_ + "' && build/tideline replication --address " +
            at(member_ports_[static_cast<std::size_t>(member)]) + " >/dev/null 2>&1";
        const int status = std::system(command.c_str());
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string log_of(int member) const {
        return path("n", member) + ".log";
    }
    std::string folder() const {
        return folder_.path();
    }
    void stop() {
        for (Program& each : sidecars_) {
            each.stop();
        }
        for (Program& each : planners_) {
            each.stop();
        }
    }

  private:
    std::string path(const char* kind, int index) const {
        return folder_.path() + "/" + kind + std::to_string(index + 1);
    }
    std::string planner_file(int planner) const {
        std::string all;
        for (int i = 0; i < 3; ++i) {
            all += std::string(i > 0 ? ", " : "") + "{ name = \"p" + std::to_string(i + 1) +
                   "\"; address = \"" + at(planner_ports_[static_cast<std::size_t>(i)]) + "\"; }";
        }
        return "planner = { name = \"p" + std::to_string(planner + 1) + "\"; listen = \"" +
               at(planner_ports_[static_cast<std::size_t>(planner)]) + "\"; folder = \"" +
               path("p", planner) + ".disk\";\n planners = ( " + all +
               " );\n leases = { span = 6.0; drift = 0.001; claim = 1.0; absent = 12.0; };\n"
               " log = { heartbeat = 0.1; election_least = 0.5; election_most = 1.0; keep = 1000; "
               "};\n};\n";
    }
    std::string member_file(int member) const {
        const auto ports = [](const std::vector<std::uint16_t>& of, std::size_t most) {
            std::string all;
            for (std::size_t i = 0; i < of.size() && i < most; ++i) {
                all += std::string(i > 0 ? ", " : "") + "\"" + at(of[i]) + "\"";
            }
            return all;
        };
        return "fleet = { member = \"n" + std::to_string(member + 1) + "\"; place = \"rack-" +
               std::to_string(member + 1) + "\"; listen = \"" +
               at(member_ports_[static_cast<std::size_t>(member)]) + "\"; seeds = [" +
               ports(member_ports_, 3) + "]; folder = \"" + path("n", member) +
               ".disk\";\n membership = { " + options_.membership +
               " remember = 86400; };\n"
               " audit = { witnesses = 3; grace = 5.0; out_after = 10.0; blind_after = 10.0; "
               "most_out = 0.25; epochs = 256; };\n"
               " planners = { addresses = [" +
               ports(planner_ports_, 3) +
               "]; answer_wait = 0.5; ask_again = 2.0; renew_most = 2.0; roll_call = 5.0; warming = "
               "0.5; };\n"
               " copies = { copies = " +
               std::to_string(options_.copies) + "; least = 2; otherwise = \"" +
               options_.otherwise +
               "\"; within = 0.5; come_back = 1.0; keep = 120; keep_epochs = 86400; slots = 256; "
               "absent = 30; rest = 10; lag = 1.0; review = 0.5; moves = 16; repair_rate = 2000000; "
               "compare = 60; scrub = 3600; };\n"
               " limits = { links = 64; frame = 1048576; };\n};\n";
    }

    const std::string root_;
    Record& record_;
    const Options options_;
    const ConfigOf config_of_;
    const TemporaryFolder folder_;
    std::vector<std::uint16_t> planner_ports_;
    std::vector<std::uint16_t> client_ports_;
    std::vector<std::uint16_t> member_ports_;
    std::vector<Program> planners_;
    std::vector<Program> sidecars_;
};

}  // namespace harness
