// The list of pods: asked for once, or watched. It tells what came, and when an asking or the watch was lost.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/call.hpp"

namespace tideline::net {

class List {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void listed(ListKind kind, const std::vector<PodLine>& lines,
                            const std::vector<Address>& addresses) = 0;
        virtual void list_lost(const std::string& why) = 0;
    };
    // `known` is the copy that was told at start; a watch asks for what came after it.
    List(Loop& loop, Owner& owner, const Terms& terms, Address address, const nlohmann::json& known);

    // False where it is no list; an entry that makes no sense is passed over.
    bool read(const nlohmann::json& list, bool first_copy);
    void fetch();
    void follow();

  private:
    void take(const std::string& text);
    void read_revision(const nlohmann::json& list);
    Loop& loop_;
    Owner& owner_;
    const Terms& terms_;
    const Address address_;
    std::int64_t revision_ = 0;
    Call fetch_, watch_;
    std::string fetched_;
};

}  // namespace tideline::net
