// Delivers SIGTERM, SIGINT and SIGHUP as events of the event loop, and ignores SIGPIPE.
#pragma once

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"

namespace tideline::cli {

// Blocks the signals for the whole process, so at most one object may exist, and it has to be
// created before any thread is started. The event loop sets the flags; the code that reads a flag
// clears it.
class Signals : public net::Watcher {
  public:
    explicit Signals(net::EventLoop& loop) : loop_(loop) {
        sigset_t handled;
        sigemptyset(&handled);
        sigaddset(&handled, SIGTERM);
        sigaddset(&handled, SIGINT);
        sigaddset(&handled, SIGHUP);
        sigprocmask(SIG_BLOCK, &handled, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        fd_.reset(::signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC));
        if (fd_.valid()) {
            loop_.watch(fd_.get(), this, POLLIN);
        }
    }
    ~Signals() override {
        if (fd_.valid()) {
            loop_.unwatch(fd_.get());
        }
    }
    Signals(const Signals&) = delete;
    Signals& operator=(const Signals&) = delete;

    void ready(short) override {
        signalfd_siginfo signal;
        while (::read(fd_.get(), &signal, sizeof signal) > 0) {
            if (signal.ssi_signo == SIGHUP) {
                reload_requested = true;
            } else {
                shutdown_requested = true;
            }
        }
    }

    bool shutdown_requested = false;  // SIGTERM or SIGINT has arrived
    bool reload_requested = false;    // SIGHUP has arrived

  private:
    net::EventLoop& loop_;
    net::FileDescriptor fd_;
};

}  // namespace tideline::cli
