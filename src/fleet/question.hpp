// One question to any member, and the rows that come for it. For the command line and for rigs.
#pragma once

#include <string>
#include <vector>

#include "fleet.pb.h"
#include "net/link.hpp"

namespace tideline::fleet {

class Question : public net::Link {
  public:
    // Of the roll, or of the audit of all.
    Question(net::Loop& loop, const net::Address& address, bool audit);
    std::vector<wire::Row> rows;
    wire::Fleet head;                  // of the last answer
    bool whole = false, over = false;  // all came; nothing more will
    std::string why;                   // it is over and not whole

  protected:
    void came_in() override;
    void ended() override;
};

}  // namespace tideline::fleet
