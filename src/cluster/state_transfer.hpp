// State transfer: a member sends its endpoint list or release status to another one that lags. The
// receiver acts on it once enough members have confirmed the content, which VersionAudit counts.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "audit/version_audit.hpp"
#include "cluster.pb.h"
#include "cluster/active_state.hpp"

namespace tideline::cluster {

// An endpoint list as it is passed to the sidecar. Entries with the same index in both vectors
// belong together.
struct TransferredList {
    std::vector<EndpointInfo> endpoints;
    std::vector<net::Address> addresses;
};

enum class TransferCheck {
    valid,         // kept until other members confirm it
    malformed,     // a field is out of range; dropped
    wrong_digest,  // the content does not match the digest of its version; dropped
};

// Returns the message that carries `part` of this member's state.
wire::HandOver transfer_of(const ActiveState& state, audit::VersionPart part);

// Holds the transfers that wait for confirmation, one for each part, and the ranks that were
// adopted. Used on the thread of the event loop.
class StateTransfer {
  public:
    TransferCheck receive(const wire::HandOver& transfer);
    // Removes and returns the transfer of that version; std::nullopt if another one has replaced
    // it.
    std::optional<wire::HandOver> take(audit::VersionPart part,
                                       const audit::ContentVersion& version);
    // From now on, content of `part` below `rank` is not accepted: it comes from this member's own
    // source, which lags.
    void set_adopted(audit::VersionPart part, std::uint64_t rank) {
        adopted_ranks_[part] = rank;
    }
    bool accepts(audit::VersionPart part, std::uint64_t rank) const;

  private:
    struct PendingTransfer {
        audit::ContentVersion version;
        wire::HandOver content;
    };
    std::map<audit::VersionPart, PendingTransfer> pending_;
    std::map<audit::VersionPart, std::uint64_t> adopted_ranks_;
};

// Returns the list of a transfer that was received as valid. An address may be valid on one machine
// only, so the address of an endpoint that `known` contains is kept.
TransferredList list_from(const wire::HandOver& transfer, const EndpointList& known);
ReleaseStatus release_from(const wire::ReleaseStatus& from);

}  // namespace tideline::cluster
