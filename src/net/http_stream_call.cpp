#include "net/http_stream_call.hpp"

#include <fmt/core.h>

#include <optional>
#include <utility>

#include "net/json_object_splitter.hpp"
#include "net/limits.hpp"

namespace tideline::net {

WatchLoss CallLoss::kind() const {
    switch (error) {
        case CallError::not_connected:
            return WatchLoss::unreachable;
        case CallError::silent:
            return WatchLoss::silent;
        case CallError::rejected:
            return WatchLoss::ended;
        case CallError::ended:
            return ended_within_object ? WatchLoss::unreadable : WatchLoss::ended;
        default:
            return WatchLoss::unreadable;
    }
}

std::string CallLoss::text() const {
    switch (error) {
        case CallError::not_connected:
            return "not_connected";
        case CallError::silent:
            return "silent";
        case CallError::ended:
            return "ended";
        case CallError::rejected:
            return fmt::format("rejected http_status={}", http_status);
        case CallError::malformed_http:
            return "malformed_http";
        case CallError::malformed_json:
            return "malformed_json";
        case CallError::object_too_long:
            return "object_too_long";
        case CallError::object_incomplete:
            return "object_incomplete";
    }
    return "";
}

// The connection of a call.
class HttpStreamCall::Stream : public TcpConnection, HttpReader::Handler {
  public:
    Stream(HttpStreamCall& call, std::string path, Seconds first_timeout, Seconds silence_timeout)
        : TcpConnection(call.loop_),
          call_(call),
          path_(std::move(path)),
          first_timeout_(first_timeout),
          silence_timeout_(silence_timeout) {
        lose_after(kConnectTimeout, CallError::not_connected);
        open(call.address_);
    }
    ~Stream() override {
        loop_.timers.cancel(silence_timer_);
        loop_.timers.cancel(object_timer_);
        loop_.timers.cancel(settle_timer_);
    }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    // Updates are read before the requests of clients, whose routing depends on them.
    PassOrder pass_order() const override {
        return PassOrder::updates;
    }

  protected:
    void on_connected() override {
        connected_ = true;
        put(fmt::format("GET {} HTTP/1.1\r\nHost: peer\r\nAccept: application/json\r\n\r\n",
                        path_));
        lose_after(first_timeout_, CallError::silent);
    }
    void on_received() override {
        const std::size_t used = reader_.read(in_.all(), *this);
        if (closed()) {
            return;
        }
        lose_after(call_.received_ ? silence_timeout_ : first_timeout_, CallError::silent);
        in_.drop(used);
        if (!loss_ && reader_.is_malformed()) {
            set_loss(CallError::malformed_http);
        }
        if (loss_) {
            return call_.lose(*loss_);
        }
        if (completed_) {
            call_.callbacks_.completed();
        }
    }
    void on_closed() override {
        reader_.connection_ended(*this);
        if (completed_ && !loss_) {
            return call_.callbacks_.completed();
        }
        CallLoss loss;
        loss.error = connected_ ? CallError::ended : CallError::not_connected;
        loss.ended_within_object = objects_.is_within_object();
        call_.lose(loss);
    }
    void on_head(int status) override;
    void on_body(std::string_view bytes) override;
    void on_end() override {
        if (objects_.is_within_object()) {
            set_loss(CallError::object_incomplete);
        }
        completed_ = true;
    }

  private:
    void set_loss(CallError error) {
        CallLoss loss;
        loss.error = error;
        loss_ = loss;
    }
    void lose_after(Seconds delay, CallError error);
    void object_received(const std::string& text);
    void limit_object();

    HttpStreamCall& call_;
    const std::string path_;
    const Seconds first_timeout_;
    const Seconds silence_timeout_;
    HttpReader reader_;
    JsonObjectSplitter objects_;
    bool connected_ = false;
    bool completed_ = false;
    std::optional<CallLoss> loss_;  // set while input is parsed and reported afterwards
    Timers::Id silence_timer_ = Timers::kNone;
    Timers::Id object_timer_ = Timers::kNone;
    Timers::Id settle_timer_ = Timers::kNone;
};

void HttpStreamCall::Stream::lose_after(Seconds delay, CallError error) {
    loop_.timers.cancel(silence_timer_);
    silence_timer_ = loop_.timers.at(clock_now() + delay, [this, error] {
        silence_timer_ = Timers::kNone;
        if (!closed()) {
            CallLoss loss;
            loss.error = error;
            call_.lose(loss);
        }
    });
}

void HttpStreamCall::Stream::on_head(int status) {
    constexpr int kOk = 200;
    if (status != kOk) {
        set_loss(CallError::rejected);
        loss_->http_status = status;
    }
    if (loss_ || !call_.callbacks_.accepted) {
        return;
    }
    settle_timer_ = loop_.timers.at(
        clock_now() + call_.callbacks_.settle_time, [this, accepted_at = loop_.arrived_after()] {
            settle_timer_ = Timers::kNone;
            if (!closed() && !call_.received_ && !objects_.is_within_object()) {
                call_.callbacks_.accepted(accepted_at);
            }
        });
}

void HttpStreamCall::Stream::on_body(std::string_view bytes) {
    if (loss_) {
        return;
    }
    const auto read = objects_.add(bytes, kMaxJsonObjectBytes,
                                   [this](const std::string& text) { object_received(text); });
    if (closed()) {
        return;
    }
    if (read == JsonObjectSplitter::Result::malformed) {
        set_loss(CallError::malformed_json);
    }
    if (read == JsonObjectSplitter::Result::too_long) {
        set_loss(CallError::object_too_long);
    }
    if (!objects_.is_within_object()) {
        return loop_.timers.cancel(object_timer_);
    }
    limit_object();
}

void HttpStreamCall::Stream::object_received(const std::string& text) {
    if (closed()) {
        return;
    }
    if (text.empty() && settle_timer_ != Timers::kNone) {
        return;  // a heartbeat gives no more information than the response head
    }
    loop_.timers.cancel(settle_timer_);
    call_.received_ = true;
    loop_.timers.cancel(object_timer_);
    call_.callbacks_.object(text);
}

// Limits the time within which an object must be complete: the rest of a truncated object would be
// awaited in vain while heartbeats keep the stream from being silent.
void HttpStreamCall::Stream::limit_object() {
    if (object_timer_ != Timers::kNone) {
        return;
    }
    object_timer_ = loop_.timers.at(clock_now() + kJsonObjectTimeout, [this] {
        object_timer_ = Timers::kNone;
        if (!closed()) {
            CallLoss loss;
            loss.error = CallError::object_incomplete;
            call_.lose(loss);
        }
    });
    if (call_.callbacks_.object_began) {
        call_.callbacks_.object_began();
    }
}

HttpStreamCall::HttpStreamCall(EventLoop& loop, Address address) : loop_(loop), address_(address) {}
HttpStreamCall::~HttpStreamCall() {
    drop();
}

void HttpStreamCall::begin(const std::string& path, Seconds first_timeout, Seconds silence_timeout,
                           Callbacks callbacks) {
    drop();
    callbacks_ = std::move(callbacks);
    stream_ = std::make_unique<Stream>(*this, path, first_timeout, silence_timeout);
}

void HttpStreamCall::drop() {
    received_ = false;
    if (!stream_) {
        return;
    }
    stream_->close();
    loop_.destroy_after_pass(std::move(stream_));
}

// Both the loss and the callback are copied first: the loss may be a member of the stream that is
// dropped, and the callback may begin the next call and so replace itself.
void HttpStreamCall::lose(const CallLoss& loss) {
    const CallLoss copy = loss;
    drop();
    const auto lost = callbacks_.lost;
    lost(copy);
}

}  // namespace tideline::net
