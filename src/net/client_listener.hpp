// Accepts clients and keeps their connections within the limits on descriptors and memory.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "net/client_connection.hpp"
#include "net/client_memory_table.hpp"
#include "net/client_use_table.hpp"
#include "net/file_descriptor.hpp"
#include "net/memory_limits.hpp"
#include "net/slots.hpp"

namespace tideline::net {

// All calls must come from the event loop's thread.
class ClientListener : public Watcher, ClientConnection::Owner {
  public:
    // Handles the requests of clients and keeps the limits on descriptors.
    class Owner : public ClientRequestHandler {
      public:
        // Returns whether another descriptor may be opened; may close connections to make room.
        virtual bool has_room_for_client() = 0;
        // Maximum number of idle client connections.
        virtual long max_idle_clients() = 0;
        // The connection has ended, whoever ended it.
        virtual void connection_ended(ClientId client) = 0;
    };

    // `longest_time_limit` is the largest time limit of all request classes, in seconds: no client
    // waits longer than that. `owner` must outlive the listener.
    ClientListener(EventLoop& loop, Owner& owner, Seconds longest_time_limit,
                   const MemoryLimits& memory_limits);
    ~ClientListener() override;
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    void set_memory_limits(const MemoryLimits& limits) {
        memory_limits_ = limits;
    }
    // Starts to listen. Returns false, with errno set, if the address can't be listened at.
    bool listen(const Address& address);
    // Writes the complete answer to the request that the client waits for; `bytes` does not include
    // ReadyForQuery. Does nothing if the client has disconnected.
    void answer(ClientId client, std::string_view bytes);
    // Asks the kernel whether the client's connection is still open. If the client has closed it,
    // client_disconnected() follows from the event loop.
    bool is_connected(ClientId client);
    // Returns whether the connection has not ended as far as this process has noticed.
    bool has_client(ClientId client) {
        return connections_.find(client.value) != nullptr;
    }
    // Resumes reading from clients whose queries waited until this sidecar could serve.
    void resume_waiting_clients();
    // Closes one connection to make room: one that is silent or stuck in an incomplete message, or
    // else one that has been idle for at least `idle_for` seconds. Returns false if there is none.
    bool close_one_client(Seconds idle_for) {
        return close_one_client(idle_for, ClientUse::silent);
    }
    // Stops accepting clients and closes each connection that is between two requests, or whose
    // client has stalled within a message or while it reads answers. Called again and again until
    // all connections are closed.
    void shut_down();
    std::size_t size() const {
        return connections_.size();
    }
    // Counts of clients by use and of rejections by error, as fields of a log line.
    std::string report() const;
    void ready(short events) override;

  private:
    // ClientConnection::Owner
    bool shutting_down() const override {
        return shutting_down_;
    }
    void use_changed(ClientId client, ClientUse use) override {
        uses_.set(client, use, clock_now());
    }
    void became_idle() override {
        close_excess_idle_later();
    }
    void partial_message_changed(ClientId client) override;
    void unread_answer_changed(ClientId client) override;
    void connection_rejected(ClientError error) override {
        ++rejections_by_error_[error];
    }
    void input_discarded() override {
        ++closed_behind_input_;
    }
    void remove(ClientId client) override;

    bool close_one_client(Seconds idle_for, ClientUse from);
    bool can_close(const ClientUseTable::Candidate& candidate, Seconds idle_for);
    void close_excess_idle_later();
    void reject_longest_partial_message();
    void close_longest_unread();
    ClientId longest_stalled(const ClientMemoryTable& table);
    void accept_clients();
    bool accept_client();
    void pause_accepting();
    void stop_listening();

    EventLoop& loop_;
    Owner& owner_;
    const Seconds longest_time_limit_;
    Slots<std::unique_ptr<ClientConnection>> connections_;
    ClientUseTable uses_;
    MemoryLimits memory_limits_;
    ClientMemoryTable partial_messages_;
    ClientMemoryTable unread_answers_;
    std::map<ClientError, long> rejections_by_error_;
    long closed_for_room_ = 0;
    long closed_behind_input_ = 0;  // clients whose close was read together with their last input
    long accept_pauses_ = 0;  // times that no client could be accepted because of the descriptors
    FileDescriptor listening_;
    bool shutting_down_ = false;
    Timers::Id resume_accepting_timer_ = Timers::kNone;
    Timers::Id close_idle_timer_ = Timers::kNone;
};

}  // namespace tideline::net
