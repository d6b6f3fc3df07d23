#include "demo/machine_loss.hpp"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "fakes/repeating_clients.hpp"

namespace tideline::demo {

using namespace fakes;

void run_loop_for(net::EventLoop& loop, Seconds duration) {
    bool running = true;
    loop.timers.at(net::clock_now() + duration, [&running] { running = false; });
    while (running) {
        loop.pass();
    }
}
int query_first_sidecar(const Options& options, const std::string& command) {
    const std::string command_line =
        fmt::format("{} {} --at {}", options.program, command, text_of(at_port(256, kClusterPort)));
    fmt::print("\n$ {}\n", command_line);
    std::fflush(stdout);
    return std::system(command_line.c_str());
}
namespace {

// Retries a request at n2 until its client has the answer, a few times at most. Returns whether the
// request took effect exactly once and its client has the answer. A charge needs no answer, since
// its outcome may be unknown.
bool retry_elsewhere(net::EventLoop& loop, RepeatingClients& clients, const Effects& effects,
                     std::size_t request_index) {
    CallResult result = CallResult::nothing;
    const Seconds deadline = net::clock_now() + 8;
    // Until n2 knows that n1 is gone, it answers that the request may have run.
    for (int retry_count = 0;
         result != CallResult::succeeded && net::clock_now() < deadline && retry_count < 4;
         ++retry_count) {
        clients.retry(request_index, 2);
        run_loop_for(loop, clients.time_limit + 0.1);
        result = clients.requests[request_index].attempts.back().result;
    }
    const RepeatedRequest& request = clients.requests[request_index];
    const auto found = effects.by_key.find(request.key);
    const std::size_t effect_count = found == effects.by_key.end() ? 0 : found->second.size();
    fmt::print("{}: retried at n2, {} times: {}; it took effect {}\n", request.request_class,
               request.attempts.size() - 1,
               result == CallResult::succeeded
                   ? "succeeded, with the answer \"" + request.attempts.back().answer + "\""
               : result == CallResult::failed
                   ? "terminated: it may have run, and has no fingerprint that endpoints recognise"
                   : "throttled or not answered",
               effect_count == 1 ? "once" : fmt::format("{} times", effect_count));
    return effect_count == 1 &&
           (result == CallResult::succeeded || request.request_class == "charge");
}

}  // namespace

bool demonstrate_machine_loss(const Options& options, const std::string& folder,
                              net::EventLoop& loop, const Effects& effects,
                              std::vector<std::unique_ptr<FakeEndpoint>>& endpoints,
                              Process& sidecar) {
    if (query_first_sidecar(options, "holdings") != 0) {
        return false;
    }
    std::vector<net::Address> addresses;
    for (int i = 0; i < options.sidecars; ++i) {
        addresses.push_back(at_port(256 + i, kClientPort));
    }
    RepeatingClients clients(loop, addresses, {"charge", "instalment"}, 1);
    for (auto& endpoint : endpoints) {
        endpoint->min_latency = 1.0;
        endpoint->max_latency = 1.2;
    }
    const std::vector<std::size_t> submitted{clients.submit("charge", 1, false),
                                             clients.submit("instalment", 1, false)};
    run_loop_for(loop, 0.4);
    sidecar.signal(SIGKILL);
    sidecar.wait();
    std::filesystem::remove_all(folder + "/n1.disk");
    fmt::print(
        "\nthe machine of n1 is lost with its disk while a charge and an instalment of its clients "
        "run at slow endpoints\n");
    for (auto& endpoint : endpoints) {
        endpoint->min_latency = 0.004;
        endpoint->max_latency = 0.012;
    }
    bool passed = true;
    for (const std::size_t request_index : submitted) {
        passed &= retry_elsewhere(loop, clients, effects, request_index);
    }
    query_first_sidecar(options, fmt::format("holdings --key instalment,desk,{}",
                                             clients.requests[submitted[1]].key));
    // The other members repair the replicas; n1 is not started again.
    const Seconds deadline = net::clock_now() + 15;
    while (net::clock_now() < deadline &&
           std::system(fmt::format("{} holdings --at {} >/dev/null", options.program,
                                   text_of(at_port(256, kClusterPort)))
                           .c_str()) != 0) {
        run_loop_for(loop, 0.2);
    }
    return query_first_sidecar(options, "holdings") == 0 && passed;
}

}  // namespace tideline::demo
