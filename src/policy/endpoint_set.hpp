// The endpoints that discovery listed, each with what this sidecar knows of it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/types.hpp"

namespace tideline {

class EndpointSet {
  public:
    // Takes over a list, or changes of it. Knowledge of an endpoint is dropped where its id comes
    // back with another start time or another build.
    void update(Seconds now, EndpointListKind kind, const std::vector<EndpointInfo>& infos);

    // Null where the id is not listed.
    Endpoint* find(const EndpointId& id);
    // An endpoint that was removed meanwhile is entered again: attempts at it may still end.
    Endpoint& find_or_add(const EndpointId& id) {
        return endpoints_[id];
    }
    Seconds started_at(const EndpointId& id) const;
    bool lists_older_build_than(Build build) const;
    // The most endpoints ever listed as ready at once.
    std::size_t max_ready_count() const {
        return max_ready_count_;
    }

    // In the order of the ids.
    auto begin() {
        return endpoints_.begin();
    }
    auto end() {
        return endpoints_.end();
    }
    auto begin() const {
        return endpoints_.begin();
    }
    auto end() const {
        return endpoints_.end();
    }

  private:
    std::size_t count_ready() const;

    std::map<EndpointId, Endpoint> endpoints_;
    std::size_t max_ready_count_ = 1;
};

}  // namespace tideline
