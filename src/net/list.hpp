// The list of pods: watched. It tells what came, and when the watch was lost.
#pragma once

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/call.hpp"
#include "net/limits.hpp"

namespace tideline::net {

class List {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void listed(ListKind kind, const std::vector<PodLine>& lines,
                            const std::vector<Address>& addresses) = 0;
        virtual void list_lost(const std::string& why) = 0;
        // False for a state older than one that was handed over since.
        virtual bool takes_revision(std::int64_t revision) = 0;
    };
    // `known` is the copy that was told at start; a watch asks for what came after it.
    List(Loop& loop, Owner& owner, const Terms& terms, Address address, const nlohmann::json& known);
    ~List() { loop_.due.cancel(again_); }

    // False where it is no list, or a change in it makes no sense; what does is taken all the same.
    bool read(const nlohmann::json& list, bool first_copy);
    void follow();
    std::int64_t revision() const { return revision_; }
    void handed(std::int64_t revision) {
        revision_ = std::max(revision_, revision);
    }                            // by another than the list
    void move(Address address);  // the list is now told there; the watch goes over without a gap

  private:
    void watch(int which);
    void take(int which, const std::string& text);
    void lost(int which, const std::string& why);
    void read_revision(const nlohmann::json& list);
    Loop& loop_;
    Owner& owner_;
    const Terms& terms_;
    Address address_;
    std::int64_t revision_ = 0;
    Call watches_[2];  // the one that stands, and after a move the one that is to follow it
    int standing_ = 0;
    Seconds pause_ = kReopenFirst;
    Due::Key again_ = Due::kNone;
};

}  // namespace tideline::net
