#include "cluster/state_transfer.hpp"

#include "cluster/message_codec.hpp"

namespace tideline::cluster {
namespace {

using audit::ContentVersion;
using audit::VersionPart;

void put(const ReleaseStatus& release, wire::ReleaseStatus& to) {
    to.set_build(release.build.value);
    to.set_stage(release.stage.value);
    to.set_phase(static_cast<std::uint32_t>(release.phase));
    to.set_cap(release.cap);
    to.set_since(release.since);
}

void put(const ListedEndpoint& endpoint, wire::Pod& to) {
    to.set_id(endpoint.info.id.value);
    to.set_address(net::text_of(endpoint.address));
    to.set_state(static_cast<std::uint32_t>(endpoint.info.state));
    to.set_location(endpoint.info.location.value);
    to.set_cell(endpoint.info.cell.value);
    to.set_kind(endpoint.info.kind);
    to.set_weight(endpoint.info.weight);
    to.set_build(endpoint.info.build.value);
    to.set_started(endpoint.info.started);
}

EndpointInfo endpoint_from(const wire::Pod& from) {
    EndpointInfo info;
    info.id = EndpointId{from.id()};
    info.state = static_cast<EndpointState>(from.state());
    info.location = Location{from.location()};
    info.cell = Cell{from.cell()};
    info.kind = from.kind();
    info.weight = from.weight();
    info.build = Build{from.build()};
    info.started = from.started();
    return info;
}

TransferCheck check_release(const wire::ReleaseStatus& from, const ContentVersion& version) {
    if (from.phase() > static_cast<std::uint32_t>(Phase::withdrawn) ||
        !(from.cap() >= 0 && from.cap() <= 1)) {
        return TransferCheck::malformed;
    }
    const ReleaseStatus release = release_from(from);
    if (rank_of(release.build, release.stage, release.phase).value != version.rank) {
        return TransferCheck::malformed;
    }
    return digest_of(release) == version.digest ? TransferCheck::valid
                                                : TransferCheck::wrong_digest;
}

TransferCheck check_list(const wire::HandOver& transfer, const ContentVersion& version) {
    EndpointList endpoints;
    for (const wire::Pod& each : transfer.pods()) {
        const auto address = net::address_of(each.address());
        if (each.state() > static_cast<std::uint32_t>(EndpointState::draining) ||
            !(each.weight() > 0) || !address) {
            return TransferCheck::malformed;
        }
        const EndpointInfo info = endpoint_from(each);
        const bool inserted = endpoints.emplace(info.id, ListedEndpoint{info, *address}).second;
        if (!inserted) {
            return TransferCheck::malformed;
        }
    }
    return digest_of(endpoints) == version.digest ? TransferCheck::valid
                                                  : TransferCheck::wrong_digest;
}

}  // namespace

wire::HandOver transfer_of(const ActiveState& state, VersionPart part) {
    wire::HandOver transfer;
    transfer.set_subject(wire_number_of(part));
    put(state.version(part), *transfer.mutable_mark());
    if (part == VersionPart::release) {
        put(state.release(), *transfer.mutable_news());
        return transfer;
    }
    for (const auto& [id, endpoint] : state.endpoints()) {
        put(endpoint, *transfer.add_pods());
    }
    return transfer;
}

TransferCheck StateTransfer::receive(const wire::HandOver& transfer) {
    const VersionPart part = version_part_from(transfer.subject());
    const ContentVersion version = content_version_from(transfer.mark());
    const TransferCheck check = part == VersionPart::release
                                    ? check_release(transfer.news(), version)
                                    : check_list(transfer, version);
    if (check == TransferCheck::valid) {
        pending_[part] = {version, transfer};
    }
    return check;
}

std::optional<wire::HandOver> StateTransfer::take(VersionPart part, const ContentVersion& version) {
    const auto it = pending_.find(part);
    if (it == pending_.end() || it->second.version != version) {
        return std::nullopt;
    }
    wire::HandOver content = std::move(it->second.content);
    pending_.erase(it);
    return content;
}

bool StateTransfer::accepts(VersionPart part, std::uint64_t rank) const {
    const auto it = adopted_ranks_.find(part);
    return it == adopted_ranks_.end() || rank >= it->second;
}

TransferredList list_from(const wire::HandOver& transfer, const EndpointList& known) {
    TransferredList list;
    for (const wire::Pod& each : transfer.pods()) {
        EndpointInfo info = endpoint_from(each);
        const auto own = known.find(info.id);
        list.addresses.push_back(own == known.end() ? *net::address_of(each.address())
                                                    : own->second.address);
        list.endpoints.push_back(std::move(info));
    }
    return list;
}

ReleaseStatus release_from(const wire::ReleaseStatus& from) {
    return {Build{from.build()}, Stage{from.stage()}, static_cast<Phase>(from.phase()), from.cap(),
            from.since()};
}

}  // namespace tideline::cluster
