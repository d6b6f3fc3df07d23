// Clients: takes them in, reads their queries one at a time, writes their answers.
#pragma once

#include <memory>
#include <optional>

#include "net/link.hpp"
#include "net/slots.hpp"

namespace tideline::net {

using ClientNo = Id<struct ClientTag, std::uint64_t>;

class Clients : public Watcher {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual bool can_serve() = 0;
        virtual bool room_for_client() = 0;  // another descriptor may be opened
        // Nothing if the operation is unknown.
        virtual std::optional<InvId> admit(ClientNo client, std::string_view statement, std::size_t d_at,
                                           std::size_t d_size, std::string_view operation,
                                           std::string_view customer, std::string_view record,
                                           Seconds budget) = 0;
        virtual void taken(InvId inv) = 0;
        virtual void client_went(InvId inv) = 0;
    };

    Clients(Loop& loop, Owner& owner);
    ~Clients() override;
    bool listen(const Address& address);
    void answer(ClientNo client, std::string_view bytes);  // a whole answer, before ReadyForQuery
    void wake();                                           // what waited until this sidecar can serve
    bool shed_one();  // ends a connection that is between two invocations
    // No more are accepted; each ends once it is between two invocations, or has none if `stalled` too.
    void let_go(bool stalled);
    std::size_t size() const { return links_.size(); }
    void ready(short events) override;

  private:
    class Client;
    void remove(ClientNo no);
    void accept_some();
    void stop_listening();
    Loop& loop_;
    Owner& owner_;
    Slots<std::unique_ptr<Client>> links_;
    int fd_ = -1;
    bool letting_go_ = false;
    Due::Key again_ = Due::kNone;
};

}  // namespace tideline::net
