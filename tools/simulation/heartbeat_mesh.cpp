#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <mutex>
#include <random>
#include <utility>

#include "simulation/cluster_measurement.hpp"
#include "simulation/random.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

constexpr int kSilenceTimeout = 5;     // s
constexpr double kStepDuration = 0.1;  // s
constexpr int kStepsPerPeriod = 10;
// The assumed size of a frame with name, incarnation and address.
constexpr double kHeartbeatBytes = 60;
constexpr double kDetectionTimeout = 60;  // s

// The baseline: each member sends a heartbeat to all others once per period of 1 s. A member from
// which no heartbeat arrived for five periods is regarded as gone.
class HeartbeatMesh {
  public:
    static constexpr std::size_t kNoMember = ~std::size_t{0};

    HeartbeatMesh(int members, std::uint32_t seed, double loss, double slow_share)
        : size_(static_cast<std::size_t>(members)),
          loss_(loss),
          random_(seed),
          asleep_until_(size_, 0),
          phase_(size_),
          slow_(size_),
          last_heard_(size_, std::vector<float>(size_, 0)),
          gone_(size_, std::vector<bool>(size_, false)) {
        for (std::size_t i = 0; i < size_; ++i) {
            slow_[i] = draw() < slow_share;
            phase_[i] = draw();
        }
    }
    // Advances the time by 0.1 s. Slow members sleep as in SimulatedCluster and check for missing
    // heartbeats when they are awake.
    void step() {
        now_ += kStepDuration;
        for (std::size_t i = 0; i < size_; ++i) {
            if (slow_[i] && now_ >= asleep_until_[i] + 0.3) {
                asleep_until_[i] = now_ + 0.5 + 2.5 * draw();
            }
            if ((slow_[i] && now_ < asleep_until_[i]) || i == down_member) {
                continue;
            }
            step_member(i);
        }
    }
    // Returns how long it takes until all others regard the member as gone, or as present.
    double time_until_known(std::size_t member, bool gone) {
        const double start = now_;
        for (bool known = false; !known && now_ < start + kDetectionTimeout;) {
            step();
            known = true;
            for (std::size_t i = 0; i < size_ && known; ++i) {
                known = i == member || gone_[i][member] == gone;
            }
        }
        return now_ - start;
    }
    std::size_t down_member = kNoMember;  // index of the member that is down
    double messages = 0;
    double wrongly_gone = 0;  // how often a member that is up and not slow was regarded as gone

  private:
    // Sends heartbeats if they are due, and updates which peers the member regards as gone.
    void step_member(std::size_t member) {
        const double time = now_ + phase_[member];
        const bool sends_heartbeat = time - std::floor(time) < kStepDuration;
        for (std::size_t peer = 0; peer < size_; ++peer) {
            if (peer == member) {
                continue;
            }
            if (sends_heartbeat) {
                ++messages;
                if (draw() >= loss_) {
                    last_heard_[peer][member] = static_cast<float>(now_);
                }
            }
            const bool silent =
                now_ > static_cast<double>(last_heard_[member][peer]) + kSilenceTimeout;
            if (silent && !gone_[member][peer] && !slow_[peer] && peer != down_member) {
                ++wrongly_gone;
            }
            gone_[member][peer] = silent;
        }
    }
    // Draws a number from the uniform distribution over [0, 1).
    double draw() {
        return draw_uniform(random_, 0, 1);
    }
    const std::size_t size_;
    const double loss_;
    double now_ = 0;
    std::ranlux24_base random_;
    std::vector<double> asleep_until_;
    std::vector<double> phase_;
    std::vector<bool> slow_;
    std::vector<std::vector<float>> last_heard_;  // [by][of]
    std::vector<std::vector<bool>> gone_;
};

}  // namespace

void measure_heartbeat_mesh(int members, int seeds) {
    Spread messages;
    Spread bytes;
    Spread death_detection_times;
    Spread return_detection_times;
    Spread wrongly_gone_with_loss;
    Spread wrongly_gone_when_slow;
    std::mutex mutex;
    for_each_seed(1, seeds, [&](std::uint32_t seed) {
        const double member_count = members;
        const auto run = [](HeartbeatMesh& mesh, int periods) {
            for (int i = 0; i < periods * kStepsPerPeriod; ++i) {
                mesh.step();
            }
        };
        HeartbeatMesh without_faults(members, seed, 0, 0);
        HeartbeatMesh with_loss(members, seed, 0.05, 0);
        HeartbeatMesh with_slow(members, seed, 0, 0.1);
        run(without_faults, 10);
        const double sent = without_faults.messages / member_count / 10;
        without_faults.down_member = static_cast<std::size_t>(members / 2);
        const double death_detection_time =
            without_faults.time_until_known(without_faults.down_member, true);
        const std::size_t returning =
            std::exchange(without_faults.down_member, HeartbeatMesh::kNoMember);
        const double return_detection_time = without_faults.time_until_known(returning, false);
        run(with_loss, 60);
        run(with_slow, 60);
        const std::lock_guard guard(mutex);
        messages.values.push_back(sent);
        bytes.values.push_back(sent * kHeartbeatBytes);
        death_detection_times.values.push_back(death_detection_time);
        return_detection_times.values.push_back(return_detection_time);
        wrongly_gone_with_loss.values.push_back(with_loss.wrongly_gone / member_count);
        wrongly_gone_when_slow.values.push_back(with_slow.wrongly_gone / member_count);
    });
    fmt::print("| {} | mesh | {} | {} | {} | {} | - | {} | - | {} |\n", members, messages.text(),
               bytes.text(), death_detection_times.text(), return_detection_times.text(),
               wrongly_gone_with_loss.text(), wrongly_gone_when_slow.text());
    std::fflush(stdout);
}

}  // namespace tideline::simulation
