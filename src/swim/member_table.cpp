#include "swim/member_table.hpp"

namespace tideline::swim {
namespace {

using cluster::Entry;
using cluster::MemberState;
using cluster::Name;

bool counts_as_present(MemberState state) {
    return state == MemberState::present || state == MemberState::suspected;
}

}  // namespace

MemberTable::Change MemberTable::put(Seconds now, const Entry& entry) {
    const auto [it, fresh] = entries_.try_emplace(entry.name, entry);
    const Entry before = fresh ? Entry{} : it->second;
    it->second = entry;
    const bool was_present = !fresh && counts_as_present(before.state);
    const bool is_present = counts_as_present(entry.state);
    Change change;
    change.before = fresh ? MemberState::left : before.state;
    change.new_incarnation = fresh || before.incarnation != entry.incarnation;
    change.changed = change.new_incarnation || before.state != entry.state ||
                     before.refutation_count != entry.refutation_count ||
                     before.address != entry.address || before.ruling_number != entry.ruling_number;
    change.joined = is_present && !was_present;
    if (change.joined) {
        ++present_;
    } else if (was_present && !is_present) {
        --present_;
    }
    if (is_present) {
        gone_since_.erase(entry.name);
    } else {
        gone_since_.try_emplace(entry.name, now);
    }
    return change;
}

std::vector<Name> MemberTable::forget(Seconds now, Seconds remembered) {
    std::vector<Name> forgotten;
    for (const auto& [name, gone] : gone_since_) {
        if (now > gone + remembered) {
            forgotten.push_back(name);
        }
    }
    for (const Name& name : forgotten) {
        gone_since_.erase(name);
        entries_.erase(name);
    }
    return forgotten;
}

Entry* MemberTable::find(const Name& name) {
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second;
}

const Entry* MemberTable::find(const Name& name) const {
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second;
}

bool MemberTable::gone_before(const Name& name, Seconds time) const {
    const auto it = gone_since_.find(name);
    return it != gone_since_.end() && it->second < time;
}

const Entry& MemberTable::entry_after(const Name& name) const {
    const auto it = entries_.upper_bound(name);
    return it == entries_.end() ? entries_.begin()->second : it->second;
}

}  // namespace tideline::swim
