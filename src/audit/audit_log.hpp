// The audit log: the states that a member acted on during one incarnation, recorded as epochs that
// are sealed in a chain of digests. Its size is bounded: old epochs are folded into sums, and the
// record shows that they were. It performs no I/O and reads no clock; sealed epochs are passed to
// AuditLogHost for storage.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::audit {

using Digest = std::string;  // 32 bytes of BLAKE2b; empty before the first epoch is sealed

// Counts of events within an epoch.
struct Counts {
    // Attempts sent to endpoints on a build in trial (`trial`), and to all others (`earlier`).
    std::uint64_t trial = 0;
    std::uint64_t earlier = 0;
    std::uint64_t on_votes = 0;
    std::uint64_t back_votes = 0;
    std::uint64_t marks = 0;
    std::uint64_t drains = 0;
    Counts& operator+=(const Counts& more);
    bool operator==(const Counts&) const = default;
};

// The state that a member acted on: everything whose change would alter its behaviour.
struct ActingState {
    cluster::Version version;
    Build build;
    Stage stage;
    Phase phase = Phase::released;
    double cap = 0;
    TrialParticipation trial_participation = TrialParticipation::open;
    // Digest of the configuration files, and version of the program.
    std::string config_digest;
    std::string program;
    bool operator==(const ActingState&) const = default;
};

// A period during which the member acted on one unchanged state.
struct Epoch {
    std::uint64_t number = 0;
    // Begin and end, as Unix time in seconds.
    Seconds from = 0;
    Seconds to = 0;
    ActingState acting;
    Counts counts;
    Digest digest;  // over the preceding digest and every other field of the epoch
};

// The sums of epochs that are no longer kept individually.
struct FoldedEpochs {
    // Number of folded epochs, and the epoch number of the newest one.
    std::uint64_t epochs = 0;
    std::uint64_t last = 0;
    Seconds from = 0;
    Seconds to = 0;
    Counts counts;
    Digest digest;  // of the newest folded epoch; the chain of the kept epochs continues from it
};

// The audit record of one incarnation, as it is sent to other members and verified by them.
struct Record {
    cluster::Name name;
    cluster::Incarnation incarnation;
    cluster::Disk disk;
    // Start of the chain: the last seal that an earlier incarnation stored on the same disk, or
    // empty.
    Digest root;
    std::optional<FoldedEpochs> fold;
    std::vector<Epoch> epochs;  // sealed, oldest first
    Epoch open;                 // the current epoch, not sealed yet
};

// Returns the digest that seals `epoch`, whose predecessor has the digest `before`.
Digest seal_of(const cluster::Name& name, const cluster::Incarnation& incarnation,
               const Digest& before, const Epoch& epoch);
// Verifies the chain of digests of the record. Returns a description of the first fault, or an
// empty string if there is none.
std::string find_record_fault(const Record& record);

class AuditLogHost {
  public:
    virtual ~AuditLogHost() = default;
    virtual void on_epoch_sealed(const Epoch& epoch) = 0;
};

class AuditLog {
  public:
    // `root` is the last seal of earlier incarnations on the same disk. `max_epochs` is the number
    // of sealed epochs that are kept individually, at least 2.
    AuditLog(AuditLogHost& host, const cluster::Name& name, const cluster::Incarnation& incarnation,
             const cluster::Disk& disk, Digest root, ActingState acting, std::size_t max_epochs,
             Seconds now);

    // Seals the current epoch and starts the next one if `acting` differs from the current state.
    void set_acting_state(Seconds now, const ActingState& acting);
    void add_attempt(bool trial) {
        ++(trial ? record_.open.counts.trial : record_.open.counts.earlier);
    }
    void add_vote(Vote vote);
    void add_condemned_build() {
        ++record_.open.counts.marks;
    }
    void add_drains(std::uint64_t endpoints) {
        record_.open.counts.drains += endpoints;
    }
    // Seals the current epoch and starts the next one. To be called when the member leaves.
    void seal_epoch(Seconds now);

    const ActingState& acting() const {
        return record_.open.acting;
    }
    Seconds since() const {
        return record_.open.from;
    }
    // The number and the digest of the newest sealed epoch. Other members remember them, to detect
    // a history that was changed afterwards.
    std::uint64_t head_number() const {
        return record_.open.number - 1;
    }
    const Digest& head() const {
        return head_;
    }
    const Record& record() const {
        return record_;
    }

  private:
    AuditLogHost* host_;
    std::size_t max_epochs_;
    Digest head_;
    Record record_;
};

}  // namespace tideline::audit
