// Whom to ping next: each member once a round, in an order that is shuffled after each round.
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
    // At a random place; nothing where the member is in the order already.
    void insert(const cluster::Name& name, RandomSource& random);
    // The next of the round. Names that are not `pinged` any more leave the order.
    std::optional<cluster::Name> next(RandomSource& random, const Accepts& pinged);
    // Up to `most` members drawn at random of those that `accepts`, each at most once; fewer where
    // few are found in some tries.
    std::vector<cluster::Name> draw(std::size_t max_count, RandomSource& random,
                                    const Accepts& accepts) const;

  private:
    void shuffle(RandomSource& random);

    std::vector<cluster::Name> names_;
    std::size_t position_ = 0;
};

}  // namespace tideline::swim
