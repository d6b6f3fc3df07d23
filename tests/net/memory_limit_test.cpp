// The memory limit of the process under hundreds of clients with large requests and answers. The
// program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

constexpr int kMemoryLimitMb = 24;
constexpr int kClients = 200;
constexpr std::size_t kLargeValueBytes = 150'000;
constexpr int kBudget = 5000;  // ms

void start_with_memory_limit(SidecarFixture& sidecar) {
    sidecar.config["limits"] = {{"sockets", 1024}, {"memory_mb", kMemoryLimitMb}};
    sidecar.set_time_limits(kBudget * 1e-3);
    sidecar.start_connected();
}

void check_memory([[maybe_unused]] const SidecarFixture& sidecar) {
#ifndef __SANITIZE_ADDRESS__  // the sanitizers keep freed memory
    CHECK(sidecar.peak_memory_mb() < kMemoryLimitMb);
#endif
}

// Serves a small request of a new client on any of these connections or on a new one.
void serve_small_request(SidecarFixture& sidecar) {
    TestConnection client = sidecar.client();
    client.send(pg::query(""));
    CHECK(client.read_answer() == "empty");
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

// A statement of the largest size whose comment holds thousands of fields.
std::string request_of_many_fields() {
    std::string text =
        "SELECT v FROM records WHERE k = '7f' /* id=" + std::to_string(++statement_count) +
        ",c=read,t=x,d=" + std::to_string(kBudget);
    while (text.size() < kLargeValueBytes) {
        text += ",a=1";
    }
    return pg::query(text + " */");
}

}  // namespace

// Guards against memory that grows with the statements in flight, or with what their clients send
// behind them, whatever the process may use.
TEST_CASE("large requests in flight stay within the memory limit, the others are rejected") {
    SidecarFixture sidecar;
    start_with_memory_limit(sidecar);
    const bool many_fields = GENERATE(false, true);
    const std::size_t next_bytes = GENERATE(as<std::size_t>{}, 0, 3000, 150'000);
    std::vector<TestConnection> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(sidecar.client());
        const std::string query =
            many_fields ? request_of_many_fields() : padded_request(kLargeValueBytes, kBudget);
        clients.back().send(query + query.substr(0, next_bytes));
    }
    int rejected = 0;
    for (TestConnection& client : clients) {
        const std::string answer = client.read_answer(0.02);
        CHECK((answer.empty() || answer == "!53300"));
        rejected += answer == "!53300";
    }
    CHECK(rejected > 0);
    CHECK(rejected < kClients);
    check_memory(sidecar);
    serve_small_request(sidecar);
}

// Guards against the same growth by messages that their clients leave incomplete or send slowly.
TEST_CASE("large requests that arrive slowly or not whole stay within the memory limit") {
    SidecarFixture sidecar;
    start_with_memory_limit(sidecar);
    const std::size_t piece = GENERATE(as<std::size_t>{}, 150'000, 10'000);
    std::vector<TestConnection> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(sidecar.client());
    }
    const std::string query = padded_request(kLargeValueBytes + 100, kBudget);
    for (std::size_t sent = 0; sent + piece <= kLargeValueBytes; sent += piece) {
        for (TestConnection& client : clients) {
            client.send(std::string_view(query).substr(sent, piece));
        }
    }
    sleep_for(kSilenceWindow);
    check_memory(sidecar);
    CHECK_FALSE(sidecar.endpoint(0.01));
    serve_small_request(sidecar);
}

// Guards against the same growth by answers that their clients do not take.
TEST_CASE("large answers that are not read stay within the memory limit") {
    SidecarFixture sidecar;
    start_with_memory_limit(sidecar);
    std::vector<TestConnection> clients;
    std::vector<TestConnection> connections;
    const std::string value(kMaxValueBytes - 1, 'a');
    for (int i = 0; i < kClients / 2; ++i) {
        clients.push_back(sidecar.client());
        clients.back().send(request("read", kBudget));
        TestConnection* queried = next_queried(connections, 0.05);
        while (queried == nullptr) {
            connections.push_back(sidecar.endpoint());
            REQUIRE(connections.back());
            queried = next_queried(connections, 0.05);
        }
        queried->send(
            success_response(value.substr(0, value.size() - static_cast<std::size_t>(i))));
    }
    sleep_for(kSilenceWindow);
    check_memory(sidecar);
    serve_small_request(sidecar);
    // The newest one is still there: those go first that have left their answer for longest.
    CHECK(clients.back().read_answer().size() == value.size() + 1 - clients.size());
}

}  // namespace tideline::net
