// The clients of a soak: they keep using every open connection until the sidecar ends, send in
// pieces, with little time, close early, and come back.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "soak/audit.hpp"
#include "soak/soak_connection.hpp"

namespace tideline::soak {

class SoakClients : SoakConnection::Owner {
  public:
    // Adds the requests to `record`. All arguments outlive this.
    SoakClients(net::EventLoop& loop, SoakRecord& record, const net::Address& sidecar,
                std::uint32_t seed);
    ~SoakClients() override;
    SoakClients(const SoakClients&) = delete;
    SoakClients& operator=(const SoakClients&) = delete;

    // Keeps so many connections open while the sidecar can be reached.
    void keep_open(int connections);
    // Whether a connection that ended is opened again.
    void set_reconnecting(bool reconnecting);
    // The soak kills the process now: what waits for an answer was cut off by the soak itself.
    void process_killed();
    // No further request is sent.
    void stop() {
        stopped_ = true;
    }
    // Whether a request waits for its answer.
    bool waiting() const;
    // A process was started: the first answer after this shows that it is ready.
    void process_started() {
        first_answer_at_.reset();
    }
    std::optional<Seconds> first_answer_at() const {
        return first_answer_at_;
    }

  private:
    struct Client {
        std::unique_ptr<SoakConnection> connection;
        std::optional<std::size_t> request;  // in the record
        net::Timers::Id timer = net::Timers::kNone;
    };
    void connection_free(int number) override;
    void request_sent(int number) override;
    void request_answered(int number, const std::string* value) override;
    void connection_ended(int number, bool unread) override;

    Seconds draw(Seconds from, Seconds to);
    void fill();
    void open_connection();
    void remove(int number);
    void next_request(int number);
    std::deque<Piece> pieces_of(const std::string& message);

    net::EventLoop& loop_;
    SoakRecord& record_;
    const net::Address sidecar_;
    std::mt19937 random_;
    const std::string name_;
    std::map<int, Client> clients_;
    int last_number_ = 0;
    int wanted_ = 0;
    std::uint64_t last_request_ = 0;
    bool reconnecting_ = true;
    bool stopped_ = false;
    std::optional<Seconds> first_answer_at_;
    net::Timers::Id fill_timer_ = net::Timers::kNone;
};

}  // namespace tideline::soak
