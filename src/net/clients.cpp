#include "net/clients.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cmath>

#include "net/must.hpp"
#include "net/pg.hpp"

namespace tideline::net {

class Clients::Client : public Link {
  public:
    explicit Client(Clients& all) : Link(all.loop_), all_(all) {}
    ~Client() override {
        loop_.due.cancel(linger_);
        loop_.due.cancel(going_on_);
    }
    ClientNo no;

    void answer(std::string_view bytes) {
        if (!must(inv_.has_value(), "an answer has a client that waits for it")) return;
        inv_.reset();
        put(std::string(bytes) + pg::ready());
        go_on();
    }
    // Danger: an answer is given in the module's own call; the next query may not be read inside it.
    void go_on() {
        if (going_on_ == Due::kNone)
            going_on_ = loop_.due.soon([this] {
                going_on_ = Due::kNone;
                look_again();
            });
    }
    bool idle() { return !inv_ && !ending_ && in_.empty() && all_written() && !heard_end(); }
    bool busy() const { return inv_.has_value(); }
    bool fresh() const { return !started_; }
    void end() {
        if (ending_) return;
        ending_ = true;
        finish();
        linger_ = loop_.due.at(clock_now() + kLinger, [this] {
            linger_ = Due::kNone;
            all_.remove(no);
        });
    }

  protected:
    void came_in() override {
        while (!ending_ && !inv_ && !closed() && !in_.empty())
            if (!(started_ ? read_message() : read_startup())) break;
        if (ending_) in_.drop(in_.size());
        if (all_.letting_go_ && !closed() && idle()) end();
    }
    void ended() override {
        if (inv_) {
            const InvId inv = *inv_;
            inv_.reset();
            all_.owner_.client_went(inv);
        }
        all_.remove(no);
    }

  private:
    void fatal(std::string_view code, std::string_view text) {
        put(pg::error("FATAL", code, text));
        end();
    }
    void refuse_query(std::string_view code, std::string_view text) {
        put(pg::error("ERROR", code, text) + pg::ready());
    }
    bool read_startup() {
        std::uint32_t code = 0;
        std::string_view body;
        std::size_t whole = 0;
        switch (pg::next_startup(in_.all(), code, body, whole)) {
            case pg::Read::more:
                return false;
            case pg::Read::bad:
                fatal("08P01", "malformed startup message");
                return false;
            case pg::Read::whole:
                break;
        }
        const std::uint32_t minor = code & 0xffff;
        in_.drop(whole);
        if (code == pg::kSslRequest || code == pg::kGssRequest) {
            put("N");
        } else if (code == pg::kCancelRequest) {
            end();  // never answered; there is nothing to cancel
        } else if (code >> 16 != pg::kMajor) {
            fatal("0A000", "only version 3 of the protocol is spoken here");
        } else {
            started_ = true;
            if (minor > 0) put(pg::negotiate(0));
            put(pg::welcome());
        }
        return true;
    }
    bool read_message() {
        char type = 0;
        std::string_view body;
        std::size_t whole = 0;
        switch (pg::next(in_.all(), kMessageMost, type, body, whole)) {
            case pg::Read::more:
                return false;
            case pg::Read::bad:
                fatal("08P01", "absurd length of a message");
                return false;
            case pg::Read::whole:
                break;
        }
        if (type == 'X') {
            end();
        } else if (type != 'Q') {
            fatal("08P01", "only simple queries are spoken here");
        } else if (body.empty() || body.back() != '\0') {
            fatal("08P01", "a query without its end");
        } else if (body.find_first_not_of(" \t\r\n;") == body.size() - 1) {
            if (!all_.owner_.can_serve()) return false;  // waits until it can be kept
            put(pg::empty_answer());
        } else {
            body.remove_suffix(1);
            read_query(body);
        }
        in_.drop(whole);
        return true;
    }
    void read_query(std::string_view text) {
        std::string_view record, op, customer, id, budget;
        const bool form = pg::statement(text, [&](std::string_view name, std::string_view value) {
            if (name.empty()) record = value;
            if (name == "id") id = value;
            if (name == "c") op = value;
            if (name == "t") customer = value;
            if (name == "d") budget = value;
        });
        double ms = 0;
        const auto read = std::from_chars(budget.data(), budget.data() + budget.size(), ms);
        if (!form || id.empty() || op.empty())
            return refuse_query("42601", "not an invocation of this service");
        if (budget.empty() || read.ec != std::errc{} || read.ptr != budget.data() + budget.size() ||
            !std::isfinite(ms) || ms < 0)
            return refuse_query("22023", "d is not a number of milliseconds");
        const auto at = static_cast<std::size_t>(budget.data() - text.data());
        inv_ = all_.owner_.admit(no, text, at, budget.size(), op, customer, record, ms * 1e-3);
        if (!inv_) return refuse_query("22023", "unknown operation");
        all_.owner_.taken(*inv_);
    }

    Clients& all_;
    std::optional<InvId> inv_;  // the one that waits for its answer
    bool started_ = false, ending_ = false;
    Due::Key linger_ = Due::kNone, going_on_ = Due::kNone;
};

Clients::Clients(Loop& loop, Owner& owner) : loop_(loop), owner_(owner) {}
Clients::~Clients() { stop_listening(); }

bool Clients::listen(const Address& address) {
    fd_ = listen_at(address);
    if (fd_ < 0) return false;
    loop_.watch(fd_, this, POLLIN);
    return true;
}

void Clients::stop_listening() {
    loop_.due.cancel(again_);
    if (fd_ < 0) return;
    loop_.forget(fd_);
    ::close(fd_);
    fd_ = -1;
}

void Clients::ready(short) { accept_some(); }

void Clients::accept_some() {
    for (int i = 0; i < kAcceptsAPass || letting_go_; ++i) {
        const bool room = owner_.room_for_client();
        const int fd = room ? ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) : -1;
        if (fd >= 0) {
            const ClientNo no{links_.add(std::make_unique<Client>(*this))};
            Client& client = **links_.find(no.value);
            client.no = no;
            client.adopt(fd);
            continue;
        }
        if (room && (errno == EINTR || errno == ECONNABORTED)) continue;
        if (room && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        // Danger: with no descriptor left the listener stays ready, and the loop would spin.
        loop_.want(fd_, 0);
        if (again_ == Due::kNone)
            again_ = loop_.due.at(clock_now() + kReopenFirst / 4, [this] {
                again_ = Due::kNone;
                loop_.want(fd_, POLLIN);
            });
        return;
    }
}

void Clients::answer(ClientNo client, std::string_view bytes) {
    if (auto* link = links_.find(client.value)) (*link)->answer(bytes);
}

void Clients::wake() {
    links_.each([](std::uint64_t, auto& link) { link->go_on(); });
}

bool Clients::shed_one() {
    bool shed = false;
    links_.each([&](std::uint64_t no, auto& link) {
        if (shed || link->fresh() || !link->idle()) return;
        shed = true;
        remove(ClientNo{no});
    });
    return shed;
}

// Danger: a connection that waits to be accepted may hold an invocation; all of them are taken in first.
void Clients::let_go(bool stalled) {
    if (!letting_go_) {
        letting_go_ = true;
        accept_some();
        stop_listening();
    }
    links_.each([stalled](std::uint64_t, auto& link) {
        if (link->idle() || (stalled && !link->busy())) link->end();
    });
}

void Clients::remove(ClientNo no) {
    auto* link = links_.find(no.value);
    if (!link) return;
    (*link)->close();
    loop_.bury(std::move(*link));
    links_.remove(no.value);
}

}  // namespace tideline::net
