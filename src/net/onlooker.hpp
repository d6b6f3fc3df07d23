// What a sidecar tells the fleet of what it acts on, and what the fleet may do to it. Where the fleet is off
// there is neither.
#pragma once

#include <vector>

#include "net/link.hpp"
#include "words.hpp"

namespace tideline::net {

class Onlooker {
  public:
    virtual ~Onlooker() = default;
    virtual bool takes_revision(std::int64_t revision) = 0;  // false for one older than was handed over
    virtual void list_told(std::int64_t revision, ListKind kind, const std::vector<PodLine>& lines,
                           const std::vector<Address>& addresses) = 0;
    // False for news older than was handed over: it is not to be acted on.
    virtual bool news_told(Build build, Stage stage, Phase phase, double cap, Seconds age) = 0;
    virtual void dispatched(const PodId& pod) = 0;
    virtual void voted(Vote vote) = 0;
    virtual void marked() = 0;
};

// The sidecar, as the fleet sees it.
class Ward {
  public:
    virtual ~Ward() = default;
    virtual void hand_list(std::int64_t revision, const std::vector<PodLine>& lines,
                           const std::vector<Address>& addresses) = 0;
    virtual void hand_news(Build build, Stage stage, Phase phase, double cap, Seconds age) = 0;
    virtual void stand(Stand stand) = 0;
    virtual void pace(const PodId& pod, double most, Seconds valid) = 0;
};

}  // namespace tideline::net
