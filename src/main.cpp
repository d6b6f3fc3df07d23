// tideline: one real sidecar. Reads what it is told at start, runs the loop, ends in order after SIGTERM.
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/sidecar.hpp"

namespace {

using namespace tideline;
using namespace tideline::net;

class Signals : public Watcher {
  public:
    explicit Signals(Loop& loop) : loop_(loop) {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        if (fd_ >= 0) loop_.watch(fd_, this, POLLIN);
    }
    ~Signals() override {
        if (fd_ >= 0) loop_.forget(fd_), ::close(fd_);
    }
    void ready(short) override {
        signalfd_siginfo info;
        while (::read(fd_, &info, sizeof info) > 0) asked_to_end = true;
    }
    bool asked_to_end = false;

  private:
    Loop& loop_;
    int fd_ = -1;
};

int serve(const char* path) {
    const Slip slip = read_slip(path);
    Log log;
    Loop loop;
    Signals signals(loop);
    Sidecar sidecar(loop, log, slip);
    bool ending = false;
    while (!sidecar.done()) {
        loop.pass();
        log.flush();
        if (!signals.asked_to_end || ending) continue;
        ending = true;
        log.line("SIGTERM: serves on for {} s, then lets clients go", kLetGoAfter);
        loop.due.at(clock_now() + kLetGoAfter, [&] { sidecar.let_go(); });
    }
    sidecar.report();
    log.line("ends: all that was taken is answered");
    log.flush();
    return 0;
}

}  // namespace

int main() {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path) {
        std::fprintf(stderr, "tideline: PROXY_CONFIG does not name a file\n");
        return 2;
    }
    try {
        return serve(path);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tideline: %s\n", error.what());
        return 1;
    }
}
