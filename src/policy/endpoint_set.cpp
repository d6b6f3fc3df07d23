#include "policy/endpoint_set.hpp"

#include <algorithm>
#include <utility>

namespace tideline {
namespace {

// A removed endpoint is forgotten this long after its last answer, because new ids keep appearing
// and the set would grow without limit.
constexpr Seconds kRemovedEndpointRetention = 10;

}  // namespace

void EndpointSet::update(Seconds now, EndpointListKind kind,
                         const std::vector<EndpointInfo>& infos) {
    if (kind != EndpointListKind::changes) {
        for (auto& [id, endpoint] : endpoints_) {
            endpoint.info.state = EndpointState::removed;
        }
    }
    for (const EndpointInfo& info : infos) {
        Endpoint& endpoint = endpoints_[info.id];
        if (endpoint.info.started != info.started || endpoint.info.build != info.build) {
            Endpoint unknown;
            unknown.in_flight = endpoint.in_flight;
            std::swap(endpoint, unknown);
        }
        endpoint.info = info;
    }
    std::erase_if(endpoints_, [now](const auto& entry) {
        const Endpoint& endpoint = entry.second;
        return endpoint.info.state == EndpointState::removed && endpoint.in_flight == 0 &&
               now > endpoint.health.last_answer_time() + kRemovedEndpointRetention;
    });
    max_ready_count_ = std::max(max_ready_count_, count_ready());
}

Endpoint* EndpointSet::find(const EndpointId& id) {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

Seconds EndpointSet::started_at(const EndpointId& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? 0 : found->second.info.started;
}

bool EndpointSet::lists_older_build_than(Build build) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [build](const auto& entry) {
        const EndpointInfo& info = entry.second.info;
        return info.state != EndpointState::removed && info.build < build;
    });
}

std::size_t EndpointSet::count_ready() const {
    return static_cast<std::size_t>(std::count_if(
        endpoints_.begin(), endpoints_.end(),
        [](const auto& entry) { return entry.second.info.state == EndpointState::ready; }));
}

}  // namespace tideline
