// Guards against unintended changes of decisions. Seeded random events are fed to the policy, every
// call that it makes is added to a digest, and the digests are compared with decision_digests.txt,
// which has one line per seed. If RECORD_DECISIONS is set in the environment, the file is written
// instead.
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "decision_recorder.hpp"
#include "simulated_rollout.hpp"

using namespace tideline;
using namespace tideline::test;

namespace {

constexpr unsigned kSeeds = 2000;
constexpr int kStepsPerSeed = 500;

std::string digest_of(unsigned seed) {
    Recorder recorder(seed);
    RoutingPolicy policy(recorder, recorder.settings, seed, recorder.now);
    recorder.update_endpoints(policy, EndpointListKind::cached);
    recorder.announce_stage(policy, false);
    for (int i = 0; i < kStepsPerSeed; ++i)
        recorder.step_with_more_events(policy);
    Digest digest;
    digest.add(recorder.digest(policy), Rollout(seed).run());
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << digest.value();
    return text.str();
}

}  // namespace

TEST_CASE("every decision is the same as the recorded one") {
    if (std::getenv("RECORD_DECISIONS")) {
        std::ofstream file(DECISION_DIGESTS);
        for (unsigned seed = 0; seed < kSeeds; ++seed)
            file << digest_of(seed) << '\n';
        return;
    }
    std::ifstream file(DECISION_DIGESTS);
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
        std::string recorded;
        REQUIRE(std::getline(file, recorded));
        INFO("seed " << seed);
        CHECK(digest_of(seed) == recorded);
    }
}
