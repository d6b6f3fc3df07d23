#include "swim/ping_order.hpp"

#include <algorithm>
#include <utility>

namespace tideline::swim {
namespace {

using cluster::Name;

// A draw may hit a member that was drawn already or is not accepted.
constexpr std::size_t kTriesPerDraw = 4;

}  // namespace

void PingOrder::insert(const Name& name, RandomSource& random) {
    if (std::find(names_.begin(), names_.end(), name) != names_.end()) {
        return;
    }
    const std::size_t place = random.draw_below(names_.size() + 1);
    names_.insert(names_.begin() + static_cast<std::ptrdiff_t>(place), name);
}

void PingOrder::shuffle(RandomSource& random) {
    for (std::size_t i = names_.size(); i > 1; --i) {
        std::swap(names_[i - 1], names_[random.draw_below(i)]);
    }
}

std::optional<Name> PingOrder::next(RandomSource& random, const Accepts& should_ping) {
    for (std::size_t tries = names_.size(); tries > 0; --tries) {
        if (position_ >= names_.size()) {
            position_ = 0;
            shuffle(random);
        }
        const Name name = names_[position_];
        if (should_ping(name)) {
            ++position_;
            return name;
        }
        names_.erase(names_.begin() + static_cast<std::ptrdiff_t>(position_));
    }
    return std::nullopt;
}

std::vector<Name> PingOrder::draw(std::size_t max_count, RandomSource& random,
                                  const Accepts& accepts) const {
    std::vector<Name> drawn;
    for (std::size_t tries = 0;
         tries < kTriesPerDraw * max_count && drawn.size() < max_count && !names_.empty();
         ++tries) {
        const Name& name = names_[random.draw_below(names_.size())];
        const bool fresh = std::find(drawn.begin(), drawn.end(), name) == drawn.end();
        if (fresh && accepts(name)) {
            drawn.push_back(name);
        }
    }
    return drawn;
}

}  // namespace tideline::swim
