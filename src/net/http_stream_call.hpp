// An HTTP call on a connection of its own. Its response is a sequence of JSON objects, each passed
// on as it arrives: a single answer, or a stream that stays open.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/http_reader.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

// The reason for which a call ended before its response was complete.
enum class CallError {
    not_connected,
    silent,    // nothing was received for longer than allowed
    ended,     // the peer closed the stream, or the response ended
    rejected,  // the HTTP status was not 200
    malformed_http,
    malformed_json,  // the input is no JSON object, or the receiver can't interpret it
    object_too_long,
    object_incomplete,  // the rest of an object did not arrive
};

struct CallLoss {
    CallError error = CallError::ended;
    int http_status = 0;               // set for `rejected`
    bool ended_within_object = false;  // set for `ended`: an object had begun

    // The kind of loss that the routing policy distinguishes.
    WatchLoss kind() const;
    // A field value for the log; for `rejected` followed by a field with the HTTP status.
    std::string text() const;
};

// All calls must come from the event loop's thread.
class HttpStreamCall {
  public:
    // Called from the event loop. `object`, `completed` and `lost` must be set.
    struct Callbacks {
        // A JSON object was received; the text is empty for a heartbeat.
        std::function<void(const std::string& text)> object;
        // The response is complete.
        std::function<void()> completed;
        // The call was lost. It has been dropped already, so the callback may begin another.
        std::function<void(const CallLoss& loss)> lost;
        // An object has begun to arrive and is not complete yet.
        std::function<void()> object_began = {};
        // The call was accepted, no earlier than `accepted_at`, and only heartbeats were received
        // for `settle_time` seconds since.
        std::function<void(Seconds accepted_at)> accepted = {};
        Seconds settle_time = 0;
    };

    HttpStreamCall(EventLoop& loop, Address address);
    ~HttpStreamCall();
    HttpStreamCall(const HttpStreamCall&) = delete;
    HttpStreamCall& operator=(const HttpStreamCall&) = delete;

    // Sets the address of the next call.
    void move(Address address) {
        address_ = address;
    }
    // Drops the current call, if any, and begins another. `first_timeout` is the longest silence in
    // seconds before the first object, `silence_timeout` after that.
    void begin(const std::string& path, Seconds first_timeout, Seconds silence_timeout,
               Callbacks callbacks);
    // Ends the call without a callback.
    void drop();
    bool open() const {
        return stream_ != nullptr;
    }
    // Returns whether an object or a heartbeat has been received.
    bool received() const {
        return received_;
    }

  private:
    class Stream;
    void lose(const CallLoss& loss);

    EventLoop& loop_;
    Address address_;
    std::unique_ptr<Stream> stream_;
    bool received_ = false;
    Callbacks callbacks_;
};

}  // namespace tideline::net
