// A client that sends small messages at full speed. The listener and its event loop run in the test
// itself, a pass at a time, and are reached over loopback.
#include <catch2/catch.hpp>

#include "fake_servers.hpp"
#include "net/client_listener.hpp"
#include "net/memory_limits.hpp"

namespace tideline::net {
namespace {

// Accepts each request and answers it at once, as the routing policy does when it rejects one.
class RejectingHandler : public ClientListener::Owner {
  public:
    bool has_room_for_client() override {
        return true;
    }
    long max_idle_clients() override {
        return 100;
    }
    void connection_ended(ClientId) override {}
    bool can_serve() override {
        return true;
    }
    std::optional<RequestId> admit(ClientId client, const ClientQuery&, Seconds) override {
        client_ = client;
        return RequestId{++admitted};
    }
    void request_admitted(RequestId) override {
        listener->answer(client_, pg::error("ERROR", "53300", "throttled"));
    }
    void client_disconnected(RequestId) override {}

    ClientListener* listener = nullptr;
    std::uint64_t admitted = 0;

  private:
    ClientId client_;
};

// Counts the messages of this type that have arrived.
int arrived_messages(TestConnection& client, char wanted) {
    int count = 0;
    while (const char type = client.read_message(0).first) {
        count += type == wanted;
    }
    return count;
}

// The descriptors are read first, then the timers run: each may handle one burst.
constexpr int kMaxMessagesOfOnePass = 2 * kMaxMessagesPerBurst;
constexpr int kMessages = 600;

}  // namespace

// Guards against messages of one client that are handled within one pass of the event loop for as
// long as there are any, because each answer that is given at once schedules the next: all others
// wait, with several such clients for seconds.
TEST_CASE("no more than two bursts of messages of one client are handled in one pass") {
    FakeServer free_port;
    const int port = free_port.port;
    free_port.close();
    EventLoop loop;
    RejectingHandler handler;
    ClientListener listener(loop, handler, 1, memory_limits_of(0));
    handler.listener = &listener;
    REQUIRE(listener.listen({htonl(INADDR_LOOPBACK), htons(static_cast<std::uint16_t>(port))}));
    const bool requests = GENERATE(false, true);
    TestConnection client = TestConnection::connect_to(port);
    client.send(pg::startup("svc", "main"));
    std::string flood;
    for (int i = 0; i < kMessages; ++i) {
        flood += requests ? request() : pg::query("");
    }
    client.send(flood);
    int answered = 0;
    int most_in_a_pass = 0;
    for (const double until = now() + kDefaultTimeout; answered <= kMessages && now() < until;) {
        loop.pass();
        const int in_this_pass = arrived_messages(client, 'Z');
        answered += in_this_pass;
        most_in_a_pass = std::max(most_in_a_pass, in_this_pass);
    }
    CHECK(answered == kMessages + 1);  // the startup message is answered too
    CHECK(most_in_a_pass <= kMaxMessagesOfOnePass);
}

}  // namespace tideline::net
