// A listening socket that passes on each connection that it accepts. All calls come from the event
// loop's thread.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <functional>
#include <utility>

#include "net/file_descriptor.hpp"
#include "net/limits.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

class Listener : public Watcher {
  public:
    // `accepted` takes ownership of the non-blocking descriptor of each accepted connection.
    Listener(EventLoop& loop, std::function<void(int fd)> accepted)
        : loop_(loop), accepted_(std::move(accepted)) {}
    ~Listener() override {
        close();
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Listens at this address instead of the previous one. Returns false, with errno set, on
    // failure.
    bool listen(const Address& address) {
        close();
        socket_ = listen_at(address);
        if (!socket_.valid()) {
            return false;
        }
        loop_.watch(socket_.get(), this, POLLIN);
        return true;
    }
    void close() {
        loop_.timers.cancel(resume_timer_);
        if (!socket_.valid()) {
            return;
        }
        loop_.unwatch(socket_.get());
        socket_.reset();
    }
    bool open() const {
        return socket_.valid();
    }
    void ready(short) override {
        for (int i = 0; i < kMaxAcceptsPerPass && socket_.valid(); ++i) {
            const int fd = ::accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
                return pause();
            }
            if (fd < 0) {
                return;
            }
            accepted_(fd);
        }
    }

  private:
    // The socket stays readable while no descriptor is left: without this pause the event loop
    // would spin.
    void pause() {
        loop_.set_events(socket_.get(), 0);
        resume_timer_ = loop_.timers.at(clock_now() + kAcceptPause, [this] {
            resume_timer_ = Timers::kNone;
            if (socket_.valid()) {
                loop_.set_events(socket_.get(), POLLIN);
            }
        });
    }

    EventLoop& loop_;
    std::function<void(int)> accepted_;
    FileDescriptor socket_;
    Timers::Id resume_timer_ = Timers::kNone;
};

}  // namespace tideline::net
