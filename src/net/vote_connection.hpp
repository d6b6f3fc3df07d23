// A connection to the release platform for votes. The platform answers in the order of the votes.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "net/http_reader.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

// A malformed or missing answer ends the connection, because the answers behind it could not be
// assigned to their votes. All open votes are then reported as unanswered.
class VoteConnection : public TcpConnection, HttpReader::Handler {
  public:
    // The client that owns the connection. Called only from the event loop's thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        // Reads the release state in the answer to a counted vote. Returns false if it is
        // malformed.
        virtual bool read_state(const nlohmann::json& state) = 0;
        virtual void vote_answered(VoteReply reply) = 0;
        // The platform rejected a vote as malformed.
        virtual void vote_malformed(const std::string& answer) = 0;
        // Closes the connection. The object is destroyed at the end of the current pass of the
        // event loop.
        virtual void remove(VoteConnection& connection) = 0;
    };

    // `answer_timeout` limits the wait for the answer to each vote, in seconds.
    VoteConnection(EventLoop& loop, Owner& owner, const Address& address, Seconds answer_timeout);
    ~VoteConnection() override;
    VoteConnection(const VoteConnection&) = delete;
    VoteConnection& operator=(const VoteConnection&) = delete;

    // Sends a vote. The answer is reported from the event loop.
    void send(const std::string& vote);
    // Stops taking votes; the connection is closed after the open votes have been answered. Returns
    // false if there are none.
    bool drain();
    bool draining() const {
        return draining_;
    }
    // An answer may lower the exposure cap by which the requests of clients are routed.
    PassOrder pass_order() const override {
        return PassOrder::replies;
    }

  protected:
    void on_received() override;
    void on_closed() override;
    void on_head(int status) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;

  private:
    void lose();

    Owner& owner_;
    const Seconds answer_timeout_;
    HttpReader reader_;
    std::deque<Timers::Id> open_votes_;  // timer of each unanswered vote, oldest first
    int status_ = 0;
    std::string body_;
    bool draining_ = false;
    Timers::Id idle_timer_ = Timers::kNone;
};

}  // namespace tideline::net
