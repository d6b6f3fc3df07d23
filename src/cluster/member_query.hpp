// Queries from outside the cluster to members and planners, for the command line and test tools.
#pragma once

#include <string>
#include <vector>

#include "cluster.pb.h"
#include "net/tcp_connection.hpp"

namespace tideline::cluster {

// A connection that sends one request to a member or a planner and receives its answers. Used on
// the thread of the event loop.
class QueryConnection : public net::TcpConnection {
  public:
    bool finished = false;  // no more answers will come
    std::string error;      // the reason why it ended before all answers arrived

  protected:
    QueryConnection(net::EventLoop& loop, const net::Address& address, const wire::Word& first);
    // Handles an answer. Returns false if it does not belong to the request.
    virtual bool handle(const wire::Word& message) = 0;
    void send(const wire::Word& message);

  private:
    void on_received() override;
    void on_closed() override;
};

class MembersQuery : public QueryConnection {
  public:
    // Queries all members as the receiver knows them; with `audit`, also the audit record of each.
    MembersQuery(net::EventLoop& loop, const net::Address& address, bool audit);
    std::vector<wire::Row> rows;
    wire::Fleet last_answer;
    bool complete = false;  // all answers were received

  private:
    bool handle(const wire::Word& message) override;
};

// Queries the state of replication as the receiver knows it.
class ReplicationQuery : public QueryConnection {
  public:
    ReplicationQuery(net::EventLoop& loop, const net::Address& address,
                     const wire::AskHoldings& what);
    wire::Holdings answer;
    bool answered = false;

  private:
    bool handle(const wire::Word& message) override;
};

}  // namespace tideline::cluster
