// Sidecar scenarios: connections that are not from members, and an operator file that changes while
// the sidecar runs.

#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iterator>

#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"
#include "fakes/server.hpp"
#include "fault_tests/sidecar_scenario_list.hpp"

namespace tideline::fault_tests {

namespace {

// A connection that is not from a member: it sends invalid bytes or nothing, or claims a member's
// name.
class UntrustedConnection : public net::TcpConnection {
  public:
    UntrustedConnection(net::EventLoop& loop, const std::string& bytes) : TcpConnection(loop) {
        open(fakes::at_port(3, kClusterPort, kListenNetwork));
        put(bytes);
    }
    bool is_closed = false;

  protected:
    void on_received() override {
        in_.drop(in_.size());
    }
    void on_closed() override {
        is_closed = true;
    }
};

}  // namespace

// Connections with invalid bytes are closed, idle connections are limited in number, and a message
// that claims a member's name from another host is rejected.
void invalid_connections(SidecarScenarioRun& run) {
    wire::Word message;
    message.mutable_from()->mutable_self()->set_name("n5");
    message.mutable_from()->mutable_self()->set_life(~0ULL);
    message.mutable_from()->mutable_self()->set_address(
        text_of(fakes::at_port(5, kClusterPort, kDialedNetwork)));
    message.mutable_from()->mutable_list()->set_rank(1ULL << 40);
    message.mutable_ping()->set_no(1);
    const std::string valid = cluster::encode_message(message);
    std::string damaged = valid;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    const std::string huge = valid.substr(0, 4) + "\xff\xff\xff\x7f" + valid.substr(8);
    std::vector<std::unique_ptr<UntrustedConnection>> connections;
    std::vector<UntrustedConnection*> expected_closed;
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), damaged, huge,
                                     cluster::encode_frame("\x01"), valid.substr(0, 9)}) {
        connections.push_back(std::make_unique<UntrustedConnection>(run.loop, bytes));
        expected_closed.push_back(connections.back().get());
    }
    // Claims to be n5 from another host.
    connections.push_back(std::make_unique<UntrustedConnection>(run.loop, valid));
    // The further connections would otherwise cause these to be closed before their bytes are read.
    run.cluster.run(0.5);
    for (int i = 0; i < 300; ++i) {
        connections.push_back(std::make_unique<UntrustedConnection>(run.loop, ""));
    }
    run.cluster.run(9);
    for (const UntrustedConnection* each : expected_closed) {
        run.expect(each->is_closed, "a connection that sent invalid bytes was not closed");
    }
    std::size_t open = 0;
    for (const auto& each : connections) {
        open += !each->is_closed;
    }
    run.expect(open < 5, fmt::format("{} idle connections were not closed", open));
    run.add_figure("descriptors after 300 idle connections",
                   static_cast<double>(run.cluster.descriptors_of(3)));
    run.expect(run.cluster.log_of(3).find(
                   "message rejected: claimed_sender=n5 reason=other_host") != std::string::npos,
               "a message that claims another member's name was not rejected");
}

// A reload applies the operator file only if it is complete and valid.
void configuration_reloaded(SidecarScenarioRun& run) {
    const std::string path = fmt::format("{}/n3.cfg", run.cluster.folder);
    std::ifstream file(path);
    const std::string valid{std::istreambuf_iterator<char>(file), {}};
    const auto put = [&](const std::string& text) {
        std::ofstream(path) << text;
        run.cluster.members[3].process->signal(SIGHUP);
    };
    const auto wait_for_log_text = [&](const char* text) {
        return run.cluster.run_until(
            5, [&] { return run.cluster.log_of(3).find(text) != std::string::npos; });
    };
    std::string wrong = valid;
    wrong.replace(wrong.find("grace = "), 8, "grace = -");
    put(wrong);
    run.expect(wait_for_log_text(
                   "n3.cfg:3: fleet.audit.grace: -1 s is not from 0.2 s to 3600 s\" kept=present"),
               "an invalid operator file was not logged with its line");
    put(valid.substr(0, valid.size() / 2));
    run.cluster.run(1);
    run.expect(run.cluster.log_of(3).find("cluster configuration reloaded") == std::string::npos,
               "an incomplete operator file was applied");
    put(valid);
    run.expect(wait_for_log_text("cluster configuration reloaded"),
               "a valid operator file was not applied");
}

}  // namespace tideline::fault_tests
