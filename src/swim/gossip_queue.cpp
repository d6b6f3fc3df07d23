#include "swim/gossip_queue.hpp"

namespace tideline::swim {

using cluster::Name;

void GossipQueue::add(const Name& name) {
    remove(name);
    const Change change{0, --next_order_, name};
    changes_.insert(change);
    changes_by_name_[name] = change;
}

void GossipQueue::remove(const Name& name) {
    const auto it = changes_by_name_.find(name);
    if (it == changes_by_name_.end()) {
        return;
    }
    changes_.erase(it->second);
    changes_by_name_.erase(it);
}

std::vector<Name> GossipQueue::take(std::size_t max_count, int max_transmissions,
                                    std::set<Name>& skipped) {
    std::vector<Change> taken;
    for (const Change& change : changes_) {
        if (taken.size() >= max_count) {
            break;
        }
        if (skipped.insert(change.name).second) {
            taken.push_back(change);
        }
    }
    std::vector<Name> names;
    for (Change& change : taken) {
        names.push_back(change.name);
        changes_.erase(change);
        ++change.transmissions;
        if (change.transmissions < max_transmissions) {
            changes_.insert(change);
            changes_by_name_[change.name] = change;
        } else {
            changes_by_name_.erase(change.name);
        }
    }
    return names;
}

}  // namespace tideline::swim
