#include "fakes/fake_endpoint.hpp"

#include "net/postgres_protocol.hpp"

namespace tideline::fakes {

namespace pg = net::pg;

class FakeEndpoint::Connection : public net::TcpConnection {
  public:
    Connection(net::EventLoop& loop, FakeEndpoint& endpoint, int number)
        : TcpConnection(loop), endpoint_(endpoint), number_(number) {}
    ~Connection() override {
        loop_.timers.cancel(answer_timer_);
    }

  protected:
    void on_received() override {
        while (!closed() && process_message()) {
            continue;
        }
    }
    void on_closed() override {
        endpoint_.server_->drop(number_);
    }

  private:
    bool process_message() {
        std::string_view body;
        std::size_t size = 0;
        if (!startup_done_) {
            std::uint32_t code = 0;
            if (pg::next_startup(in_.all(), code, body, size) != pg::Read::whole) {
                return false;
            }
            in_.drop(size);
            startup_done_ = true;
            put(pg::welcome());
            return true;
        }
        char type = 0;
        if (answer_timer_ != net::Timers::kNone ||
            pg::next(in_.all(), net::kMaxMessageBytes, type, body, size) != pg::Read::whole) {
            return false;
        }
        if (type == 'Q') {
            answer_query(body);
        }
        if (type == 'X') {
            endpoint_.server_->drop(number_);
            return false;
        }
        in_.drop(size);
        return true;
    }
    void answer_query(std::string_view body) {
        ReceivedRequest request{net::clock_now(), {}, {}, {}, {}};
        pg::statement(body.substr(0, body.size() - 1),
                      [&](std::string_view name, std::string_view value) {
                          if (name == "id") {
                              request.request_id = value;
                          }
                          if (name == "c") {
                              request.request_class = value;
                          }
                          if (name == "t") {
                              request.tenant = value;
                          }
                          if (name == "k") {
                              request.key = value;
                          }
                      });
        const std::string value =
            "value of " + (request.key.empty() ? request.request_id : request.key);
        endpoint_.received.push_back(std::move(request));
        const bool fails = endpoint_.draw() < endpoint_.failure_share;
        if (endpoint_.effects && !endpoint_.received.back().key.empty()) {
            endpoint_.effects->record(endpoint_.received.back().request_class,
                                      endpoint_.received.back().key, net::clock_now());
        }
        answer_timer_ = loop_.timers.at(
            net::clock_now() + endpoint_.min_latency +
                (endpoint_.max_latency - endpoint_.min_latency) * endpoint_.draw(),
            [this, value, fails] {
                answer_timer_ = net::Timers::kNone;
                put(fails ? pg::error("ERROR", "XX000", "no") + pg::ready() : row_messages(value));
                if (!closed()) {
                    receive_again();
                }
            });
    }
    static std::string row_messages(const std::string& value) {
        std::string size = {'\0', '\1'};
        for (int i = 3; i >= 0; --i) {
            size += static_cast<char>(value.size() >> (8 * i) & 0xff);
        }
        return pg::message(
                   'T',
                   std::string("\0\1v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 22)) +
               pg::message('D', size + value) + pg::message('C', std::string("SELECT 1\0", 9)) +
               pg::ready();
    }
    FakeEndpoint& endpoint_;
    const int number_;
    bool startup_done_ = false;
    net::Timers::Id answer_timer_ = net::Timers::kNone;
};

void Effects::record(const std::string& request_class, const std::string& key, Seconds now) {
    std::vector<Seconds>& effects = by_key[key];
    if (!repeatable.contains(request_class) || effects.empty() || now > effects.back() + window) {
        effects.push_back(now);
    }
}

FakeEndpoint::FakeEndpoint(net::EventLoop& loop, std::uint32_t seed)
    : server_(std::make_unique<Server<Connection, FakeEndpoint>>(loop, *this)), random_(seed) {}
FakeEndpoint::~FakeEndpoint() = default;
bool FakeEndpoint::listen(const net::Address& address) {
    return server_->listen(address);
}
void FakeEndpoint::close() {
    server_->close();
}

}  // namespace tideline::fakes
