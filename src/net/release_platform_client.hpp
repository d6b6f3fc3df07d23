// Client of the release platform: reads a feed of release stages and flagged answers, which stays
// open, and sends votes.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "net/http_stream_call.hpp"
#include "net/limits.hpp"
#include "net/vote_connection.hpp"

namespace tideline::net {

// All calls must come from the event loop's thread.
class ReleasePlatformClient : VoteConnection::Owner {
  public:
    // Receives what the platform announces and answers. Called only from the event loop's thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        // A release stage was announced. `cap` is the largest share of requests for the build;
        // `age` is the age of the information in seconds.
        virtual void stage_announced(Build build, Stage stage, Phase phase, double cap,
                                     Seconds age) = 0;
        // A client flagged an answer of this endpoint as wrong; the answer was sent `sent_ago`
        // seconds ago.
        virtual void answer_flagged(const std::string& request_class, const EndpointId& endpoint,
                                    Seconds sent_ago) = 0;
        virtual void vote_answered(VoteReply reply) = 0;
        // An event for the log, with its name and fields.
        virtual void platform_event(const std::string& event) = 0;
    };

    // `vote_timeout` limits the wait for the answer to a vote, in seconds. `seed` seeds the jitter
    // of reconnects. `owner` must outlive the client.
    ReleasePlatformClient(EventLoop& loop, Owner& owner, Address address, Seconds vote_timeout,
                          std::uint64_t seed);
    ~ReleasePlatformClient() override;
    ReleasePlatformClient(const ReleasePlatformClient&) = delete;
    ReleasePlatformClient& operator=(const ReleasePlatformClient&) = delete;

    // Reads the state of a release. Returns false if it is malformed.
    bool read_state(const nlohmann::json& state) override;
    // Opens the feed.
    void begin();
    // Moves to another address of the platform. The old feed and the votes in flight are kept until
    // the new address has taken over.
    void move(Address address);
    // Sends a vote. The answer is reported from the event loop.
    void vote(Build build, Stage stage, Vote vote);

  private:
    // VoteConnection::Owner
    void vote_answered(VoteReply reply) override {
        owner_.vote_answered(reply);
    }
    void vote_malformed(const std::string& answer) override {
        owner_.platform_event("vote malformed: answer=" + answer);
    }
    void remove(VoteConnection& connection) override;

    void maintain_feed();
    void maintain_feed_after(Seconds delay);
    void open_feed(int feed_index);
    void log_feed_opened() const;
    void feed_lost(int feed_index, const std::string& reason);
    void feed_object_received(int feed_index, const std::string& text);
    void read_event(const nlohmann::json& event);

    EventLoop& loop_;
    Owner& owner_;
    Address address_;
    const Seconds vote_timeout_;
    std::ranlux24_base random_;
    // The current feed, and another one that is tried while the current feed is silent or at the
    // old address.
    std::array<HttpStreamCall, 2> feeds_;
    int current_ = 0;
    bool moving_ = false;  // the current feed is still at the old address
    Seconds last_received_ = 0;
    Seconds backoff_ = kInitialReconnectBackoff;
    Timers::Id maintain_timer_ = Timers::kNone;
    // The last connection takes votes; the others only wait for answers.
    std::vector<std::unique_ptr<VoteConnection>> vote_connections_;
};

}  // namespace tideline::net
