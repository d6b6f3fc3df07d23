// The clients of a soak. They keep using every open connection until the sidecar ends. Some of
// their requests are sent in pieces, have a short time limit, or are abandoned by an early close.
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
    // Adds the requests to `record`. `loop` and `record` must outlive this object.
    SoakClients(net::EventLoop& loop, SoakRecord& record, const net::Address& sidecar,
                std::uint32_t seed);
    ~SoakClients() override;
    SoakClients(const SoakClients&) = delete;
    SoakClients& operator=(const SoakClients&) = delete;

    // Keeps at least `connections` connections open while the sidecar can be reached.
    void keep_connections_open(int connections);
    // Sets whether connections that end are replaced by new ones.
    void set_reconnecting(bool reconnecting);
    // To be called when the soak kills the sidecar: requests that wait for an answer then count as
    // cut off by the soak.
    void on_process_killed();
    // Sends no further requests.
    void stop() {
        stopped_ = true;
    }
    // Whether a request waits for its answer.
    bool has_open_request() const;
    // To be called when a process was started: the first answer after this shows that it is ready.
    void on_process_started() {
        first_answer_at_.reset();
    }
    std::optional<Seconds> first_answer_at() const {
        return first_answer_at_;
    }

  private:
    struct Client {
        std::unique_ptr<SoakConnection> connection;
        std::optional<std::size_t> request;  // index of the request that is open, in the record
        net::Timers::Id timer = net::Timers::kNone;
    };
    void on_connection_free(int number) override;
    void on_request_sent(int number) override;
    void on_request_answered(int number, const std::string* value) override;
    void on_connection_ended(int number, bool unread) override;

    Seconds draw(Seconds from, Seconds to);
    void open_missing_connections();
    void open_connection();
    void remove_client(int number);
    void send_next_request(int number);
    std::deque<Piece> pieces_of(const std::string& message);

    net::EventLoop& loop_;
    SoakRecord& record_;
    const net::Address sidecar_;
    std::mt19937 random_;
    const std::string name_;
    std::map<int, Client> clients_;
    int last_number_ = 0;
    int target_count_ = 0;
    std::uint64_t last_request_ = 0;
    bool reconnecting_ = true;
    bool stopped_ = false;
    std::optional<Seconds> first_answer_at_;
    net::Timers::Id reconnect_timer_ = net::Timers::kNone;
};

}  // namespace tideline::soak
