// Watches the endpoint list at the discovery service: passes on each list and change, and reports
// when the watch is lost.
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

// All calls must come from the event loop's thread.
class DiscoveryClient {
  public:
    // Receives the endpoint list and the state of the watch. Called only from the event loop's
    // thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        // A list or a change has arrived; `addresses` holds the address of each element of
        // `endpoints`.
        virtual void endpoint_list_received(EndpointListKind kind,
                                            const std::vector<EndpointInfo>& endpoints,
                                            const std::vector<Address>& addresses) = 0;
        // The list is known to be current as of `as_of`: every change until then has been passed
        // on.
        virtual void endpoint_list_confirmed(Seconds as_of) = 0;
        // A change has begun to arrive and can't be read yet; it arrived no earlier than `since`.
        virtual void endpoint_list_unreadable(Seconds since) = 0;
        // The discovery service moved to another address, no earlier than `since`.
        virtual void discovery_moved(Seconds since) = 0;
        // The watch was lost. The owner decides when to call follow() again. `details` holds fields
        // for the log.
        virtual void watch_lost(Seconds since, WatchLoss loss, const std::string& details) = 0;
        // The list was confirmed again after one or more lost watches. `details` holds fields for
        // the log.
        virtual void watch_restored(const std::string& details) = 0;
        // Returns false for a revision that is older than one that was received from another
        // source.
        virtual bool accepts_revision(std::int64_t revision) = 0;
    };

    // `settings` and `owner` must outlive the client. `configured_list` is the endpoint list in the
    // configuration.
    DiscoveryClient(EventLoop& loop, Owner& owner, const Settings& settings, Address address,
                    const nlohmann::json& configured_list);
    ~DiscoveryClient() {
        loop_.timers.cancel(retry_timer_);
    }
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    // Passes on the endpoint list in the configuration.
    void begin(const nlohmann::json& configured_list) {
        apply_list(configured_list, true);
    }
    // Opens the watch.
    void follow();
    // The revision from which a watch has to continue; 0 if no list has been received.
    std::int64_t revision() const {
        return list_.revision();
    }
    // Records that the list up to this revision was received from another source than discovery.
    void advance_revision(std::int64_t revision) {
        list_.advance_revision(revision);
    }
    // Moves to another address of the discovery service, which took effect no earlier than `since`.
    // The old watch stays open until the new one has sent something, so that no change is lost.
    void move(Address address, Seconds since);

  private:
    void open_watch(int watch_index);
    void object_received(int watch_index, const std::string& text);
    void watch_lost(int watch_index, const CallLoss& loss);
    void report_loss(const CallLoss& loss);
    // Makes this watch the current one and drops the other.
    void make_current(int watch_index);
    void confirm_list(int watch_index, Seconds as_of);
    // Applies a list. Returns false if the list has to be requested again.
    bool apply_list(const nlohmann::json& list, bool from_configuration);

    EventLoop& loop_;
    Owner& owner_;
    EndpointList list_;
    Address address_;
    // The current watch and, after a move, the one that is about to replace it.
    std::array<HttpStreamCall, 2> watches_;
    int current_ = 0;
    bool moving_ = false;  // the current watch is still at the old address
    Seconds backoff_ = kInitialReconnectBackoff;
    int unanswered_calls_ = 0;  // consecutive calls without a confirmation
    Seconds last_call_at_ = 0;
    const Seconds started_at_;
    std::optional<Seconds> last_confirmed_at_;
    Timers::Id retry_timer_ = Timers::kNone;
};

}  // namespace tideline::net
