#include "replication/owner_liveness.hpp"

namespace tideline::replication {

OwnerLiveness::OwnerLiveness(const Name& self, const Incarnation& incarnation, Seconds started_at,
                             Seconds unknown_member_timeout)
    : self_(self),
      incarnation_(incarnation),
      started_at_(started_at),
      unknown_member_timeout_(unknown_member_timeout) {}

void OwnerLiveness::update_member(const Name& name, const Incarnation& incarnation, bool gone) {
    Incarnation& known = incarnations_[name];
    if (incarnation < known) {
        return;
    }
    known = incarnation;
    if (gone) {
        gone_.insert(name);
    } else {
        gone_.erase(name);
    }
}

bool OwnerLiveness::is_dead(Seconds now, const EffectOwner& owner) const {
    if (owner.name == self_) {
        return owner.incarnation < incarnation_;
    }
    const auto newest = incarnations_.find(owner.name);
    if (newest == incarnations_.end()) {
        return now > started_at_ + unknown_member_timeout_;
    }
    return newest->second > owner.incarnation ||
           (newest->second == owner.incarnation && gone_.contains(owner.name));
}

}  // namespace tideline::replication
