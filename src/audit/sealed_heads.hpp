// The newest seals that each other member has reported in its current incarnation. They contradict
// a history that was changed afterwards, and a second history of the same incarnation.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "audit/audit_log.hpp"

namespace tideline::audit {

class SealedHeads {
  public:
    // Records the seal that a member reports. Returns a description of the fault if another seal of
    // the same epoch was reported before, else an empty string.
    std::string observe_seal(const cluster::Name& name, const cluster::Incarnation& incarnation,
                             std::uint64_t number, const Digest& digest) {
        Head& head = heads_[name];
        if (incarnation < head.incarnation) {
            return {};  // a delayed message of an earlier incarnation
        }
        if (incarnation > head.incarnation) {
            head = {};
            head.incarnation = incarnation;
        }
        if (number == 0) {
            return {};
        }
        // Messages may arrive late and out of order: an older seal is no fault, but a different
        // seal of the same epoch is.
        const auto [it, fresh] = head.seals.emplace(number, digest);
        if (!fresh && it->second != digest) {
            return head.fault = "it shows two seals of epoch " + std::to_string(number);
        }
        if (head.seals.size() > kMaxSeals) {
            head.seals.erase(head.seals.begin());
        }
        return {};
    }
    // Checks the record against the seals that its member has reported. Returns a description of
    // the fault, or an empty string if there is none or the epochs in question were folded.
    std::string find_record_fault(const Record& record) const {
        const auto it = heads_.find(record.name);
        if (it == heads_.end() || it->second.incarnation != record.incarnation) {
            return {};
        }
        const Head& head = it->second;
        if (!head.fault.empty()) {
            return head.fault;
        }
        for (const auto& [number, digest] : head.seals) {
            const bool folded = record.fold && number <= record.fold->last;
            if (folded && number < record.fold->last) {
                continue;
            }
            const auto epoch = std::find_if(record.epochs.begin(), record.epochs.end(),
                                            [n = number](const Epoch& e) { return e.number == n; });
            if (!folded && epoch == record.epochs.end()) {
                return "epoch " + std::to_string(number) + ", which it had sealed, is missing";
            }
            if ((folded ? record.fold->digest : epoch->digest) != digest) {
                return "epoch " + std::to_string(number) + " was changed after it was sealed";
            }
        }
        return {};
    }
    void forget(const cluster::Name& name) {
        heads_.erase(name);
    }

  private:
    // Seals kept for each member; enough for messages that arrive out of order.
    static constexpr std::size_t kMaxSeals = 8;
    struct Head {
        cluster::Incarnation incarnation;
        std::map<std::uint64_t, Digest> seals;  // by epoch number
        std::string fault;                      // kept once a fault was found
    };
    std::map<cluster::Name, Head> heads_;
};

}  // namespace tideline::audit
