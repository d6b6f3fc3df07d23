// The release platform: a feed of stages and flagged answers that stays open, and votes.
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

// All calls come from the event loop's thread.
class ReleasePlatformClient : VoteConnection::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // `cap`: the largest share of requests for the build; `age`: of that knowledge, s.
        virtual void stage_announced(Build build, Stage stage, Phase phase, double cap,
                                     Seconds age) = 0;
        // A client found an answer of this endpoint wrong, sent `sent_ago` seconds ago.
        virtual void answer_flagged(const std::string& request_class, const EndpointId& endpoint,
                                    Seconds sent_ago) = 0;
        virtual void vote_answered(VoteReply reply) = 0;
        // For the log: the event's name and fields.
        virtual void platform_event(const std::string& event) = 0;
    };

    // `vote_timeout`: s, for the answer to a vote. `seed`: of the jitter of reconnects. `owner`
    // outlives the client.
    ReleasePlatformClient(EventLoop& loop, Owner& owner, Address address, Seconds vote_timeout,
                          std::uint64_t seed);
    ~ReleasePlatformClient() override;
    ReleasePlatformClient(const ReleasePlatformClient&) = delete;
    ReleasePlatformClient& operator=(const ReleasePlatformClient&) = delete;

    // Takes one state of a release; false if it is malformed.
    bool read_state(const nlohmann::json& state) override;
    // Opens the feed.
    void begin();
    // The platform is at another address from now on; feed and votes go over without a gap.
    void move(Address address);
    // Sends a vote; its answer is reported from the loop.
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
    // The current feed, and one that is tried when that is silent or at the old address.
    std::array<HttpStreamCall, 2> feeds_;
    int current_ = 0;
    bool moving_ = false;  // the current feed is at the old address
    Seconds last_received_ = 0;
    Seconds backoff_ = kInitialReconnectBackoff;
    Timers::Id maintain_timer_ = Timers::kNone;
    // The last one takes votes, the others wait for answers.
    std::vector<std::unique_ptr<VoteConnection>> vote_connections_;
};

}  // namespace tideline::net
