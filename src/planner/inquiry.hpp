// Questions to any planner, and what is answered. For the command line and for rigs.
#pragma once

#include <functional>
#include <string>

#include "fleet.pb.h"
#include "net/link.hpp"

namespace tideline::planner {

// Tells each holder of each lease, now and as it changes, until the connection ends.
class Watch : public net::Link {
  public:
    Watch(net::Loop& loop, const net::Address& address, std::function<void(const wire::Holds&)> told);
    ~Watch() override;
    bool over = false;

  protected:
    void came_in() override;
    void ended() override { over = true; }

  private:
    void ask();
    std::function<void(const wire::Holds&)> told_;
    net::Due::Key again_ = net::Due::kNone;
};

// One question and its answer.
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
