#include "policy/endpoint_discovery.hpp"

#include <utility>

namespace tideline {

void EndpointDiscovery::process_started(Seconds now) {
    const DiscoveryBackoff::Wait wait = backoff_.process_started();
    watch_at_ = wait.max > 0 ? now + random_.uniform(wait.min, wait.max) : now;
}

void EndpointDiscovery::list_read(EndpointListKind kind) {
    if (kind != EndpointListKind::cached) {
        backoff_.call_answered();
    }
}

void EndpointDiscovery::confirmed(Seconds as_of) {
    freshness_.confirmed(as_of);
    backoff_.call_answered();
}

void EndpointDiscovery::watch_lost(Seconds now, Seconds since, WatchLoss loss) {
    freshness_.watch_lost(since, loss);
    const bool watched = freshness_.confirmed_at().has_value();
    const DiscoveryBackoff::Wait wait = backoff_.call_failed(loss, watched);
    watch_at_ = now + random_.uniform(wait.min, wait.max);
}

bool EndpointDiscovery::take_watch_due(Seconds now) {
    if (watch_at_ == kNever || now < watch_at_) {
        return false;
    }
    watch_at_ = kNever;
    return true;
}

ListValidityChange EndpointDiscovery::check_validity(Seconds now) {
    const bool expired = freshness_.confirmed_at() && freshness_.expired(now);
    const bool was_expired = std::exchange(expired_, expired);
    if (expired == was_expired) {
        return ListValidityChange::none;
    }
    return expired ? ListValidityChange::expired : ListValidityChange::valid_again;
}

}  // namespace tideline
