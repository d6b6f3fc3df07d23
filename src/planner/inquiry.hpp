// One question to any planner, and its answer. For the command line and for rigs.
#pragma once

#include <string>

#include "fleet.pb.h"
#include "net/link.hpp"

namespace tideline::planner {

class Inquiry : public net::Link {
  public:
    Inquiry(net::Loop& loop, const net::Address& address, const wire::LeaseAsk& ask);
    wire::LeaseAnswer answer;
    bool answered = false, over = false;
    std::string why;  // it is over and not answered

  protected:
    void came_in() override;
    void ended() override;
};

}  // namespace tideline::planner
