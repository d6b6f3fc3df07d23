// Fixture of the tests that use sockets: the program with fake endpoints, discovery and release
// platform on free loopback ports.
#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>

#include "fake_servers.hpp"
#include "policy/policy_fixture.hpp"

namespace tideline::net {

// Runs the program as a separate process, with the fake servers to which it connects. The
// destructor kills the process and removes its directory.
class SidecarFixture {
  public:
    explicit SidecarFixture(std::size_t count = 2) : endpoints(count) {
        char folder[] = "/tmp/tideline-XXXXXX";
        folder_ = ::mkdtemp(folder);
        FakeServer free_port;
        port = free_port.port;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back(endpoint_line("s-" + std::to_string(i), endpoints[i].port));
        }
        config = {{"name", "n0"},
                  {"listen", "127.0.0.1:" + std::to_string(port)},
                  {"discovery", "127.0.0.1:" + std::to_string(discovery.port)},
                  {"seed", "8c1f30d27a5be964"},
                  {"limits", {{"sockets", 256}}},
                  {"deployer",
                   {{"address", "127.0.0.1:" + std::to_string(platform.port)},
                    {"news", release_state("stable")}}},
                  {"settings", settings_json()}};
    }
    ~SidecarFixture() {
        if (pid_ > 0) {
            kill_and_wait(SIGKILL);
        }
        (void)!std::system(("rm -r " + folder_).c_str());
    }
    // Sets the time limit of all request classes.
    void set_time_limits(double seconds) {
        for (json& each : config["settings"]["classes"]) {
            each["deadlineUs"] = static_cast<long>(seconds * 1e6);
        }
    }
    // What the process runs: reads the configuration at the path and does not return.
    using Program = std::function<void(const std::string& config_path)>;
    // Starts the process; by default it runs the program.
    void start(const Program& program = run_tideline) {
        if (!config.contains("known")) {
            config["known"] = {{"revision", 41}, {"complete", true}, {"members", members}};
        }
        write_config();
        const std::string path = folder_ + "/config.json";
        pid_ = ::fork();
        if (pid_ == 0) {
            const int log = ::open((folder_ + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(log, STDERR_FILENO);
            program(path);
            ::_exit(127);
        }
    }
    static void run_tideline(const std::string& config_path) {
        ::setenv("PROXY_CONFIG", config_path.c_str(), 1);
        ::execl(TIDELINE_PROGRAM, TIDELINE_PROGRAM, nullptr);
    }
    void write_config(const std::string& text = {}) {
        std::ofstream(folder_ + "/config.json") << (text.empty() ? config.dump() : text);
    }
    // Starts the process and accepts its watch of the endpoint list and its feed of the platform.
    void start_connected(const Program& program = run_tideline) {
        start(program);
        watch = discovery.accept_connection();
        REQUIRE(watch.read_until("\r\n\r\n").find("since=41") != std::string::npos);
        watch.send(kStreamHead);
        send_list_change(json::array(), 41);  // confirms the list: nothing has changed since
        feed = platform.accept_connection();
        REQUIRE(feed.read_until("\r\n\r\n").find("GET /api/feed") == 0);
        feed.send(kStreamHead + chunk("{}\n"));
    }
    // Accepts the next watch at this fake discovery.
    TestConnection accepted_watch(FakeServer& from) {
        TestConnection connection = from.accept_connection();
        connection.read_until("\r\n\r\n");
        connection.send(kStreamHead);
        return connection;
    }
    // Configures this discovery address, which takes effect at the next SIGHUP.
    void configure_discovery_at(const FakeServer& there) {
        config["discovery"] = "127.0.0.1:" + std::to_string(there.port);
        write_config();
    }
    // Sends a change of the endpoint list on the current watch.
    void send_list_change(const json& entries, int revision = 43) {
        watch.send(chunk(
            json{{"revision", revision}, {"complete", false}, {"members", entries}}.dump() + "\n"));
    }
    // Connects a client and completes its startup.
    TestConnection client() {
        TestConnection connection = TestConnection::connect_to(port);
        connection.send(pg::startup("svc", "main"));
        REQUIRE(connection.read_answer().empty());
        return connection;
    }
    // Accepts the next connection to an endpoint and reads its startup message. With `greet`, also
    // answers that.
    TestConnection endpoint(double wait = kDefaultTimeout, bool greet = true) {
        for (const double until = now() + wait; now() < until;) {
            for (FakeServer& each : endpoints) {
                if (TestConnection connection = each.accept_connection(0.005)) {
                    connection.receive_more();
                    if (greet) {
                        connection.consume(1 << 20);
                        connection.send(pg::welcome());
                    }
                    return connection;
                }
            }
        }
        return {};
    }
    // Accepts the next connection to an endpoint and reads the query on it.
    TestConnection queried_endpoint() {
        TestConnection connection = endpoint();
        REQUIRE(connection.read_message().first == 'Q');
        return connection;
    }
    // Announces this release state on the feed of the platform.
    void announce_stage(const json& release) {
        feed.send(chunk(json{{"type", "ROLLOUT"}, {"object", release}}.dump() + "\n"));
    }
    // Waits for the program to exit. Returns its exit status, or -1 if it does not exit normally in
    // time.
    int wait_for_exit(double wait = kDefaultTimeout) {
        for (const double until = now() + wait; now() < until; sleep_for(0.01)) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) != pid_) {
                continue;
            }
            pid_ = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        return -1;
    }
    void signal(int signal_number) {
        ::kill(pid_, signal_number);
    }
    // Suspends the process and returns once it stands still; resume() lets it go on.
    void suspend() {
        signal(SIGSTOP);
        REQUIRE(::waitpid(pid_, nullptr, WUNTRACED) == pid_);
    }
    void resume() {
        signal(SIGCONT);
    }
    void kill_and_wait(int signal_number) {
        ::kill(pid_, signal_number);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    // Processor time that the program has used, in seconds.
    double cpu_seconds() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
        std::string field;
        double ticks = 0;
        for (int i = 1; i <= 15 && file >> field; ++i) {
            if (i >= 14) {
                ticks += std::stod(field);
            }
        }
        return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    // Number of open descriptors of the program.
    std::size_t open_descriptor_count() const {
        std::size_t count = 0;
        for ([[maybe_unused]] const auto& each :
             std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
            ++count;
        }
        return count;
    }
    // Peak resident memory of the program, in MB.
    long peak_memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        for (std::string field; file >> field;) {
            if (field == "VmHWM:" && file >> field) {
                return std::stol(field) / 1024;
            }
        }
        return 0;
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    FakeServer discovery;
    FakeServer platform;
    std::vector<FakeServer> endpoints;
    json members = json::array();
    json config;
    TestConnection watch;
    TestConnection feed;
    int port = 0;

  private:
    std::string folder_;
    pid_t pid_ = 0;
};

// Opens connections until each endpoint has one, and leaves all of them idle.
inline std::vector<TestConnection> idle_connections(SidecarFixture& sidecar) {
    std::vector<TestConnection> clients;
    std::vector<TestConnection> connections;
    for (FakeServer& endpoint : sidecar.endpoints) {
        // The sidecar chooses the endpoint, so several requests may go to another one.
        for (bool found = false; !found;) {
            clients.push_back(sidecar.client());
            clients.back().send(request("read", 5000));
            connections.push_back(sidecar.endpoint());
            REQUIRE(connections.back());
            found = connections.back().local_port() == endpoint.port;
        }
    }
    for (TestConnection& connection : connections) {
        REQUIRE(connection.read_message().first == 'Q');
        connection.send(success_response("1"));
    }
    for (TestConnection& client : clients) {
        REQUIRE(client.read_answer() == "1");
    }
    sleep_for(5 * kDuplicateAnswerQuietWindow);
    return connections;
}

// A query that an endpoint received.
struct ReceivedQuery {
    TestConnection* connection = nullptr;
    std::string statement;
};
// Returns the next query that arrives; without a connection if none arrives in time.
inline ReceivedQuery next_query(std::vector<TestConnection>& connections, double wait) {
    for (const double until = now() + wait; now() < until;) {
        for (TestConnection& connection : connections) {
            if (!connection) {
                continue;
            }
            const auto [type, body] = connection.read_message(0.001);
            if (type == 'Q') {
                return {&connection, body};
            }
        }
    }
    return {};
}
// Returns the connection on which the next query arrives; null if none arrives in time.
inline TestConnection* next_queried(std::vector<TestConnection>& connections, double wait) {
    return next_query(connections, wait).connection;
}

}  // namespace tideline::net
