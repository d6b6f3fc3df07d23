// Requests to a planner and their answers, for the command line and for tests.
#pragma once

#include <functional>
#include <string>

#include "cluster/member_query.hpp"

namespace tideline::planner {

// Subscribes to the holders of all leases. Calls `on_holder` once for each lease, and again
// whenever its holder changes, until the connection ends.
class Watch : public cluster::QueryConnection {
  public:
    Watch(net::EventLoop& loop, const net::Address& address,
          std::function<void(const wire::Holds&)> on_holder);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch() override;

  private:
    bool handle(const wire::Word& message) override;
    void schedule_renewal();

    std::function<void(const wire::Holds&)> on_holder_;
    net::Timers::Id renewal_timer_ = net::Timers::kNone;
};

// Sends one request. `answer` is set once `answered` is true.
class PlannerQuery : public cluster::QueryConnection {
  public:
    PlannerQuery(net::EventLoop& loop, const net::Address& address, const wire::LeaseAsk& ask);
    wire::LeaseAnswer answer;
    bool answered = false;

  private:
    bool handle(const wire::Word& message) override;
};

}  // namespace tideline::planner
