// The part of the demonstration in which a machine is lost with its disk.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "demo/demo_options.hpp"
#include "fakes/fake_endpoint.hpp"
#include "fakes/process.hpp"

namespace tideline::demo {

// Executes the event loop for `duration` seconds.
void run_loop_for(net::EventLoop& loop, Seconds duration);
// Runs a sub-command of tideline against the first sidecar and shows its output. Returns its exit
// status.
int query_first_sidecar(const Options& options, const std::string& command);
// Kills the sidecar n1 and removes its disk while a charge and an instalment that it has taken run
// at slow endpoints; their clients retry at n2. Prints the outcome of each. Returns whether each
// took effect exactly once, the client of the instalment has its answer, and all replicas are
// complete again.
bool demonstrate_machine_loss(const Options& options, const std::string& folder,
                              net::EventLoop& loop, const fakes::Effects& effects,
                              std::vector<std::unique_ptr<fakes::FakeEndpoint>>& endpoints,
                              fakes::Process& sidecar);

}  // namespace tideline::demo
