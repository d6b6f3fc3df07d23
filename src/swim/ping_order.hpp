// The order in which members are pinged: each once per round, shuffled after each round.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cluster/types.hpp"
#include "swim/random_source.hpp"

namespace tideline::swim {

class PingOrder {
  public:
    using Accepts = std::function<bool(const cluster::Name&)>;
    // Inserts the member at a random position; does nothing if it is in the order already.
    void insert(const cluster::Name& name, RandomSource& random);
    // Returns the next member of the round. Members for which `should_ping` is false are removed
    // from the order.
    std::optional<cluster::Name> next(RandomSource& random, const Accepts& should_ping);
    // Returns up to `max_count` different members that `accepts`, drawn at random. The number of
    // draws is limited, so it may return fewer.
    std::vector<cluster::Name> draw(std::size_t max_count, RandomSource& random,
                                    const Accepts& accepts) const;

  private:
    void shuffle(RandomSource& random);

    std::vector<cluster::Name> names_;
    std::size_t position_ = 0;
};

}  // namespace tideline::swim
