#include "cluster/active_state.hpp"

#include <algorithm>

#include "cluster/content_digest.hpp"

namespace tideline::cluster {

std::uint64_t digest_of(const EndpointList& endpoints) {
    ContentDigest digest;
    for (const auto& [id, endpoint] : endpoints) {
        digest.add(id.value);
        digest.add(endpoint.info.state);
        digest.add(endpoint.info.build.value);
        digest.add(endpoint.info.started);
        digest.add(endpoint.info.weight);
        digest.add(endpoint.info.cell.value);
    }
    return digest.value();
}

std::uint64_t digest_of(const ReleaseStatus& release) {
    ContentDigest digest;
    digest.add(release.build.value);
    digest.add(release.stage.value);
    digest.add(release.phase);
    digest.add(release.cap);
    return digest.value();
}

bool ActiveState::update_endpoint(const EndpointInfo& info, const net::Address& address) {
    const auto it = endpoints_.find(info.id);
    const bool was_ready = it == endpoints_.end() || it->second.info.state == EndpointState::ready;
    if (info.state == EndpointState::removed) {
        endpoints_.erase(info.id);
    } else {
        endpoints_[info.id] = {info, address};
    }
    return info.state == EndpointState::draining && was_ready;
}

void ActiveState::set_list_revision(std::int64_t revision) {
    const auto rank = static_cast<std::uint64_t>(std::max<std::int64_t>(0, revision));
    versions_[audit::VersionPart::list] = {rank, digest_of(endpoints_)};
}

void ActiveState::set_release(const ReleaseStatus& release) {
    release_ = release;
    const ReleaseRank rank = rank_of(release.build, release.stage, release.phase);
    versions_[audit::VersionPart::release] = {rank.value, digest_of(release_)};
}

const EndpointInfo* ActiveState::find_endpoint(const EndpointId& endpoint) const {
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() ? nullptr : &it->second.info;
}

std::size_t ActiveState::count_ready_endpoints() const {
    return static_cast<std::size_t>(std::count_if(
        endpoints_.begin(), endpoints_.end(),
        [](const auto& each) { return each.second.info.state == EndpointState::ready; }));
}

bool ActiveState::runs_trial_build(const EndpointId& endpoint) const {
    const EndpointInfo* info = find_endpoint(endpoint);
    const Build build = info ? info->build : Build{};
    return build > release_.build || (build == release_.build && release_.phase != Phase::released);
}

audit::ContentVersion ActiveState::version(audit::VersionPart part) const {
    const auto it = versions_.find(part);
    return it == versions_.end() ? audit::ContentVersion{} : it->second;
}

}  // namespace tideline::cluster
