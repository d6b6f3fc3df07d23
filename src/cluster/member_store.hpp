// What of a member outlives its process: a folder with its incarnation and the sealed epochs of its
// audit log. Blocking file I/O, at start and at each seal.
#pragma once

#include <string>

#include "audit/audit_log.hpp"

namespace tideline::cluster {

class MemberStore {
  public:
    // Opens the folder, or creates it. Without one (an empty path) nothing is stored, and the disk
    // is 0. Throws std::runtime_error where it can't be used, or holds another member's records.
    MemberStore(const std::string& folder, const Name& name, std::uint64_t fresh_disk, Seconds now);

    Incarnation incarnation() const {
        return incarnation_;
    }  // of this start: higher than any that the folder has stored
    Disk disk() const {
        return disk_;
    }
    const audit::Digest& root() const {
        return root_;
    }  // the last seal of former incarnations
    const std::string& found() const {
        return damage_;
    }  // what was damaged in the folder, as a line; or empty
    // Appends the epoch. False where it could not be written.
    bool keep(const audit::Epoch& epoch);

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
