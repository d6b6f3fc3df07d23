#include "replication/replica_shard.hpp"

#include <algorithm>

namespace tideline::replication {

void Shard::open_if_caught_up() {
    open = open || std::none_of(peers.begin(), peers.end(), [](const auto& each) {
               const Peer& peer = each.second;
               return peer.required_for_writes && !peer.caught_up;
           });
}

}  // namespace tideline::replication
