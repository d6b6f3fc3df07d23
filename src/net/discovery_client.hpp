// Watches the endpoint list at discovery: passes on what comes, and reports when the watch is lost.
#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/endpoint_list.hpp"
#include "net/http_stream_call.hpp"
#include "net/limits.hpp"

namespace tideline::net {

// All calls come from the event loop's thread.
class DiscoveryClient {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // `addresses` holds one for each line.
        virtual void endpoint_list_received(EndpointListKind kind,
                                            const std::vector<EndpointInfo>& endpoints,
                                            const std::vector<Address>& addresses) = 0;
        // All changes until `as_of` have been passed on.
        virtual void endpoint_list_confirmed(Seconds as_of) = 0;
        // A change has begun to arrive; `since` is the earliest time at which it may have come.
        virtual void endpoint_list_unreadable(Seconds since) = 0;
        // The list is watched at another address from now on, no earlier than `since`.
        virtual void discovery_moved(Seconds since) = 0;
        // The owner decides when to call follow() again. `details`: fields for the log.
        virtual void watch_lost(Seconds since, WatchLoss loss, const std::string& details) = 0;
        // `details`: fields for the log.
        virtual void watch_restored(const std::string& details) = 0;
        // False for a revision older than one that was received since.
        virtual bool takes_revision(std::int64_t revision) = 0;
    };

    // `settings` and `owner` outlive the client. `configured_list`: the list in the configuration.
    DiscoveryClient(EventLoop& loop, Owner& owner, const Settings& settings, Address address,
                    const nlohmann::json& configured_list);
    ~DiscoveryClient() {
        loop_.timers.cancel(retry_timer_);
    }
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    // Passes on the list in the configuration.
    void begin(const nlohmann::json& configured_list) {
        apply_list(configured_list, true);
    }
    // Opens the watch.
    void follow();
    // The list's own numbering of its states; 0 if none has come.
    std::int64_t revision() const {
        return list_.revision();
    }
    // The list up to this revision came from another source than discovery.
    void advance_revision(std::int64_t revision) {
        list_.advance_revision(revision);
    }
    // Discovery is at another address, no earlier than `since`; the watch goes over without a gap.
    void move(Address address, Seconds since);

  private:
    void open_watch(int watch_index);
    void object_received(int watch_index, const std::string& text);
    void watch_lost(int watch_index, const CallLoss& loss);
    void report_loss(const CallLoss& loss);
    // From now on this watch is the current one.
    void make_current(int watch_index);
    void confirm_list(int watch_index, Seconds as_of);
    // False if the list has to be requested again.
    bool apply_list(const nlohmann::json& list, bool from_configuration);

    EventLoop& loop_;
    Owner& owner_;
    EndpointList list_;
    Address address_;
    // The current watch, and after a move the one that is to follow it.
    std::array<HttpStreamCall, 2> watches_;
    int current_ = 0;
    bool moving_ = false;  // the current watch is at the old address
    Seconds backoff_ = kInitialReconnectBackoff;
    int unanswered_calls_ = 0;  // in a row
    Seconds last_call_at_ = 0;
    const Seconds started_at_;
    std::optional<Seconds> last_confirmed_at_;
    Timers::Id retry_timer_ = Timers::kNone;
};

}  // namespace tideline::net
