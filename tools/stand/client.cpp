#include "stand/client.hpp"

#include <algorithm>
#include <cmath>

#include "net/pg.hpp"

namespace tideline::stand {

namespace pg = net::pg;

class ClientStand::Connection : public net::Link {
  public:
    explicit Connection(ClientStand& all) : Link(all.loop_), all_(all) {
        open(all.sidecar_);
        put(pg::startup("svc", "main"));
    }
    bool idle() const { return !busy_ && !closed(); }
    void ask(std::size_t which, const std::string& id, const std::string& statement) {
        busy_ = true, which_ = which, id_ = id;
        put(pg::query(statement));
    }

  protected:
    void came_in() override {
        for (;;) {
            char type = 0;
            std::string_view body;
            std::size_t whole = 0;
            if (pg::next(in_.all(), net::kAnswerMost, type, body, whole) != pg::Read::whole) return;
            if (busy_) took(type, body);
            in_.drop(whole);
        }
    }
    void ended() override { all_.drop(this); }

  private:
    void took(char type, std::string_view body) {
        Asked& asked = all_.asked[which_];
        const auto end = [&](Came came) {
            asked.came = came, ++asked.answers, asked.took = net::clock_now() - asked.at;
        };
        if (type == 'D') end(body.substr(6) == "value of " + id_ ? Came::succeeded : Came::wrong);
        if (type == 'E') {
            const auto code = pg::error_field(body, 'C');
            end(code == "53300" || code == "57P03" ? Came::throttled : Came::terminated);
        }
        if (type == 'Z' && asked.answers > 0) busy_ = false;
    }
    ClientStand& all_;
    bool busy_ = false;
    std::size_t which_ = 0;
    std::string id_;
};

ClientStand::ClientStand(net::Loop& loop, net::Address sidecar, std::string customer, std::uint32_t seed)
    : loop_(loop), sidecar_(sidecar), customer_(std::move(customer)), chance_(seed) {}
ClientStand::~ClientStand() { stop(); }

void ClientStand::begin(double rate) {
    rate_ = rate;
    next();
}
void ClientStand::stop() { loop_.due.cancel(next_); }
std::size_t ClientStand::open() const {
    return static_cast<std::size_t>(
        std::count_if(asked.begin(), asked.end(), [](auto& each) { return each.answers == 0; }));
}
void ClientStand::next() {
    const double unit = (1.0 + static_cast<double>(chance_())) / (2.0 + static_cast<double>(chance_.max()));
    next_ = loop_.due.at(net::clock_now() - std::log(unit) / rate_, [this] {
        next_ = net::Due::kNone;
        send();
        next();
    });
}
void ClientStand::send() {
    const auto free = std::find_if(links_.begin(), links_.end(), [](auto& link) { return link->idle(); });
    Connection* link = free == links_.end() ? nullptr : free->get();
    if (!link) link = links_.emplace_back(std::make_unique<Connection>(*this)).get();
    const std::string id = customer_ + "x" + std::to_string(asked.size());
    asked.push_back({net::clock_now(), 0, limit, Came::nothing, 0});
    link->ask(asked.size() - 1, id,
              "SELECT v FROM records WHERE k = '7f' /* id=" + id +
                  ",c=" + (chance_() % 8 ? "read" : "charge") + ",t=" + customer_ +
                  ",d=" + std::to_string(static_cast<int>(limit * 1e3)) + " */");
}
void ClientStand::drop(Connection* which) {
    const auto it =
        std::find_if(links_.begin(), links_.end(), [&](auto& each) { return each.get() == which; });
    if (it == links_.end()) return;
    loop_.bury(std::move(*it));
    links_.erase(it);
}

}  // namespace tideline::stand
