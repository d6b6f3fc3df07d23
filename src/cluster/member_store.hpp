// The persistent state of a member: a folder with its incarnation and the sealed epochs of its
// audit log. Performs blocking file I/O, at start and at each seal.
#pragma once

#include <string>

#include "audit/audit_log.hpp"

namespace tideline::cluster {

class MemberStore {
  public:
    // Opens the folder or creates it, with `fresh_disk` as the id of a new disk. With an empty path
    // nothing is stored and the disk id is 0. Throws std::runtime_error if the folder can't be used
    // or holds another member's records.
    MemberStore(const std::string& folder, const Name& name, std::uint64_t fresh_disk, Seconds now);

    // Returns the incarnation of this start, which is higher than any that the folder has stored.
    Incarnation incarnation() const {
        return incarnation_;
    }
    Disk disk() const {
        return disk_;
    }
    // Returns the last seal of earlier incarnations.
    const audit::Digest& root() const {
        return root_;
    }
    // Returns a one-line description of the damage in the folder, or an empty
    // string.
    const std::string& found() const {
        return damage_;
    }
    // Appends the epoch. Returns false if it could not be written.
    bool append_epoch(const audit::Epoch& epoch);

  private:
    void read_epochs(const Name& name);
    std::string folder_;
    Name name_;
    Incarnation incarnation_;
    Disk disk_;
    audit::Digest root_;
    std::string damage_;
    std::size_t size_ = 0;
};

}  // namespace tideline::cluster
