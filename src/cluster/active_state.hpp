// The endpoint list and the release status that this sidecar acts on, and their content versions.
#pragma once

#include <map>

#include "audit/version_audit.hpp"
#include "net/tcp_connection.hpp"
#include "policy/types.hpp"

namespace tideline::cluster {

// An endpoint of the list, and where it is reached from this machine.
struct ListedEndpoint {
    EndpointInfo info;
    net::Address address;
};
using EndpointList = std::map<EndpointId, ListedEndpoint>;

struct ReleaseStatus {
    Build build;
    Stage stage;
    Phase phase = Phase::released;
    double cap = 0;     // share of the requests that the trial build may get, 0 to 1
    Seconds since = 0;  // when the platform reported it
};

// The digest covers an endpoint's id, state, build, start time, weight and cell. It leaves out the
// address and the location, which may differ between sidecars.
std::uint64_t digest_of(const EndpointList& endpoints);
std::uint64_t digest_of(const ReleaseStatus& release);

// Holds state only. Used on the thread of the event loop.
class ActiveState {
  public:
    void clear_endpoints() {
        endpoints_.clear();
    }
    // Adds, replaces or removes the endpoint, depending on its state. Returns whether it has just
    // begun to drain.
    bool update_endpoint(const EndpointInfo& info, const net::Address& address);
    // Sets the revision of the list. To be called after each batch of changes.
    void set_list_revision(std::int64_t revision);
    void set_release(const ReleaseStatus& release);

    const EndpointList& endpoints() const {
        return endpoints_;
    }
    const ReleaseStatus& release() const {
        return release_;
    }
    // Returns nullptr if the list does not contain the endpoint. The pointer is valid until the
    // list changes.
    const EndpointInfo* find_endpoint(const EndpointId& endpoint) const;
    std::size_t count_ready_endpoints() const;
    // Returns whether the endpoint runs a build that is not released yet.
    bool runs_trial_build(const EndpointId& endpoint) const;
    // Returns a version of rank 0 if the part was not set yet.
    audit::ContentVersion version(audit::VersionPart part) const;

  private:
    EndpointList endpoints_;
    ReleaseStatus release_;
    std::map<audit::VersionPart, audit::ContentVersion> versions_;
};

}  // namespace tideline::cluster
