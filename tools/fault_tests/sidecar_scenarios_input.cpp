// Sidecar scenarios: bytes from strangers, and an operator file that changes while it runs.

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

// A connection from outside that sends invalid bytes, or claims a member's name.
class Stranger : public net::TcpConnection {
  public:
    Stranger(net::EventLoop& loop, const std::string& bytes) : TcpConnection(loop) {
        open(fakes::at_port(3, kFleetPort, kListenNet));
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

// Connections with invalid bytes are closed, idle ones are bounded, and a claimed name is rejected.
void strangers(SidecarScenarioRun& run) {
    wire::Word message;
    message.mutable_from()->mutable_self()->set_name("n5");
    message.mutable_from()->mutable_self()->set_life(~0ULL);
    message.mutable_from()->mutable_self()->set_address(
        text_of(fakes::at_port(5, kFleetPort, kDialledNet)));
    message.mutable_from()->mutable_list()->set_rank(1ULL << 40);
    message.mutable_ping()->set_no(1);
    const std::string valid = cluster::encode_message(message);
    std::string damaged = valid;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    const std::string huge = valid.substr(0, 4) + "\xff\xff\xff\x7f" + valid.substr(8);
    std::vector<std::unique_ptr<Stranger>> connections;
    std::vector<Stranger*> expected_closed;
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), damaged, huge,
                                     cluster::encode_frame("\x01"), valid.substr(0, 9)}) {
        connections.push_back(std::make_unique<Stranger>(run.loop, bytes));
        expected_closed.push_back(connections.back().get());
    }
    connections.push_back(
        std::make_unique<Stranger>(run.loop, valid));  // claims n5 from another host
    run.cluster.run(
        0.5);  // or the further connections would have these closed before they are read
    for (int i = 0; i < 300; ++i) {
        connections.push_back(std::make_unique<Stranger>(run.loop, ""));
    }
    run.cluster.run(9);
    for (const Stranger* each : expected_closed) {
        run.expect(each->is_closed, "a stranger that speaks nonsense is not ended");
    }
    std::size_t open = 0;
    for (const auto& each : connections) {
        open += !each->is_closed;
    }
    run.expect(open < 5, fmt::format("{} strangers that say nothing are not ended", open));
    run.figure("descriptors after 300 strangers",
               static_cast<double>(run.cluster.descriptors_of(3)));
    run.expect(run.cluster.log_of(3).find(
                   "message rejected: claimed_sender=n5 reason=other_host") != std::string::npos,
               "a word in another's name is taken");
}

// A reload applies a complete valid operator file, or nothing.
void reloaded(SidecarScenarioRun& run) {
    const std::string path = fmt::format("{}/n3.cfg", run.cluster.folder);
    std::ifstream file(path);
    const std::string valid{std::istreambuf_iterator<char>(file), {}};
    const auto put = [&](const std::string& text) {
        std::ofstream(path) << text;
        run.cluster.members[3].process->signal(SIGHUP);
    };
    const auto logged = [&](const char* text) {
        return run.cluster.run_until(
            5, [&] { return run.cluster.log_of(3).find(text) != std::string::npos; });
    };
    std::string wrong = valid;
    wrong.replace(wrong.find("grace = "), 8, "grace = -");
    put(wrong);
    run.expect(
        logged("n3.cfg:3: fleet.audit.grace: -1 s is not from 0.2 s to 3600 s\" kept=present"),
        "a wrong operator file is not told with its line");
    put(valid.substr(0, valid.size() / 2));
    run.cluster.run(1);
    run.expect(run.cluster.log_of(3).find("cluster configuration reloaded") == std::string::npos,
               "half a file is taken up");
    put(valid);
    run.expect(logged("cluster configuration reloaded"), "a good operator file is not taken up");
}

}  // namespace tideline::fault_tests
