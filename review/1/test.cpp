// A sidecar takes in no client any more, because answers of pods do not end.
//
// One sidecar with 256 descriptors, ten sound pods, 40 clients, about 200 requests a second. For 40 s
// six of a hundred answers come spoilt: the last message of the answer, ReadyForQuery, does not end,
// and the connection stays open. The pod closes a connection that has stood idle for 30 s, as the
// settings say. Clients hold a connection each and send one request at a time; one in five leaves
// after an answer, and a new one comes in its place, which sends its first query directly after the
// startup message. A request whose connection is closed with no answer is sent once more.
//
// The rule is broken if a request that was written whole, on a connection that the sidecar's machine
// accepted and that stays open, has no answer half a second (and 50 ms) after its time.
//
// TROUBLE=0: all answers are whole. For comparison: SHARE=S sets the share of spoilt answers, SOCKETS=N
// the descriptors, CLIENTS=N the clients.
#include "harness.hpp"

using namespace harness;

namespace {

constexpr int kPods = 10;
constexpr double kTrafficBefore = 3;  // s
constexpr double kTroubleFor = 40;    // s
constexpr double kTrafficAfter = 3;   // s
constexpr double kPodIdle = 30;       // s: keepaliveUs of the settings
constexpr int kTimeMs = 2000;         // the time limit of quote
constexpr double kLeastWork = 0.074;  // s, the mean work of quote
constexpr double kMostWork = 0.13;
constexpr double kLateBy = 0.55;  // s after its time a request is lost: 0.5 s and 50 ms
constexpr double kLeavingShare = 0.2;

double option(const char* name, double otherwise) {
    const char* text = std::getenv(name);
    return text != nullptr ? std::atof(text) : otherwise;
}

std::mutex random_mutex;
std::mt19937 random_numbers{44};

double draw(double from, double to) {
    const std::lock_guard<std::mutex> guard(random_mutex);
    return std::uniform_real_distribution<>(from, to)(random_numbers);
}

class SpoilingPod {
  public:
    SpoilingPod(std::string name, Record& record, const std::atomic<bool>& troubled, double share)
        : name_(std::move(name)), record_(record), troubled_(troubled), share_(share) {
        listening_ = listen_anywhere(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    set_no_delay(fd);
                    std::thread([this, fd] {
                        ++connections_;
                        serve(fd);
                        ::close(fd);
                        --connections_;
                    }).detach();
                }
            }
        }).detach();
    }
    const std::string& name() const {
        return name_;
    }
    std::uint16_t port() const {
        return port_;
    }
    int received() const {
        return received_;
    }
    int spoilt() const {
        return spoilt_;
    }
    int connections() const {
        return connections_;
    }

  private:
    void serve(int fd) {
        Reader reader(fd);
        if (!reader.need(4)) {
            return;
        }
        const std::string size = reader.take(4);
        if (!reader.need(number_from(size, 0) - 4)) {
            return;
        }
        reader.take(number_from(size, 0) - 4);
        write_all(fd, message('R', number(0)) + message('K', number(1) + number(1)) +
                          ready_for_query());
        while (reader.need(5, now() + kPodIdle)) {
            const std::string head = reader.take(5);
            const std::size_t length = number_from(head, 1) - 4;
            if (head[0] != 'Q' || !reader.need(length)) {
                return;
            }
            const std::string id = comment_field(reader.take(length), "id");
            ++received_;
            sleep_for(draw(kLeastWork, kMostWork));
            const std::string row = row_answer("v:" + id, "SELECT 1");
            const bool spoils = troubled_ && draw(0, 1) < share_;
            record_.line("pod %s answers id=%s%s", name_.c_str(), id.c_str(),
                         spoils ? ", the last message does not end" : "");
            spoilt_ += spoils ? 1 : 0;
            // Three of the six bytes of ReadyForQuery.
            if (!write_all(fd, row + (spoils ? ready_for_query().substr(0, 3) : ready_for_query()))) {
                return;
            }
        }
    }

    const std::string name_;
    Record& record_;
    const std::atomic<bool>& troubled_;
    const double share_;
    int listening_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<int> received_{0};
    std::atomic<int> spoilt_{0};
    std::atomic<int> connections_{0};
};

class Run {
  public:
    Run(const std::string& root, const std::string& folder)
        : root_(root), record_(folder + "/record.txt") {}

    int play() {
        const double share = option("SHARE", 0.06);
        const int sockets = static_cast<int>(option("SOCKETS", 256));
        const int client_count = static_cast<int>(option("CLIENTS", 40));
        std::vector<std::unique_ptr<SpoilingPod>> pods;
        std::vector<std::string> entries;
        for (int i = 0; i < kPods; ++i) {
            pods.push_back(std::make_unique<SpoilingPod>("p" + std::to_string(i + 1), record_,
                                                         troubled_, share));
            entries.push_back(list_entry(pods.back()->name(), pods.back()->port(), "a", 1, 41));
        }
        const std::string list = whole_list(entries);
        const Discovery discovery(list);
        const Platform platform;
        const std::uint16_t port = free_port();
        write_file(temporary_.path() + "/config.json",
                   sidecar_config("n1", port, discovery.port(), platform.port(), list, settings(),
                                  sockets));
        Program sidecar;
        sidecar.start(root_, "exec build/tideline", temporary_.path() + "/sidecar.log",
                      {{"PROXY_NAME", "n1"},
                       {"PROXY_LISTEN", at(port)},
                       {"PROXY_DISCOVERY", at(discovery.port())},
                       {"PROXY_CONFIG", temporary_.path() + "/config.json"}});
        if (!wait_until_ready(port, 30)) {
            record_.say("the sidecar is not ready");
            return 2;
        }
        record_.say("sidecar ready; descriptors %d, share of spoilt answers %.2f, TROUBLE=%d",
                    sockets, share, trouble() ? 1 : 0);
        std::vector<std::thread> clients;
        for (int i = 0; i < client_count; ++i) {
            clients.emplace_back([this, port] { use_sidecar(port); });
        }
        sleep_for(kTrafficBefore);
        troubled_ = trouble();
        const double troubled_until = now() + kTroubleFor;
        while (now() < troubled_until) {
            sleep_for(5);
            report(pods);
        }
        troubled_ = false;
        sleep_for(kTrafficAfter);
        stopping_ = true;
        for (std::thread& each : clients) {
            each.join();
        }
        report(pods);
        const bool runs = sidecar.runs();
        sidecar.stop();
        record_.say("answers %d (values %d, refused %d, failed %d), sent once more %d, wrong values %d",
                    rows_ + refused_ + failed_, rows_, refused_, failed_, again_, wrong_);
        record_.say("never answered: %d%s", lost_, runs ? "" : "; the sidecar has ended");
        if (rows_ < 500) {
            return 2;
        }
        const bool broken = lost_ > 0 || wrong_ > 0 || !runs;
        record_.say(broken ? "RULE BROKEN" : "rule held");
        return broken ? 1 : 0;
    }

  private:
    static std::string settings() {
        return sidecar_settings({{"quote", "free", 600, 2000, 3, "all", 0},
                                 {"tariff-lookup", "free", 800, 2500, 1, "all", 0},
                                 {"policy-issue", "guarded", 1500, 4000, 5, "all", 2500},
                                 {"instalment-charge", "single_shot", 750, 2500, 2, "all", 0}},
                                3, "[\"a\"]", 6, 1000, "subscribe");
    }

    void report(const std::vector<std::unique_ptr<SpoilingPod>>& pods) {
        int received = 0;
        int spoilt = 0;
        int connections = 0;
        for (const auto& pod : pods) {
            received += pod->received();
            spoilt += pod->spoilt();
            connections += pod->connections();
        }
        const std::lock_guard<std::mutex> guard(mutex_);
        record_.say("pods: received %d, spoilt %d, connections open %d; clients: values %d, never "
                    "answered %d",
                    received, spoilt, connections, rows_, lost_);
    }

    // One client after another, on one thread.
    void use_sidecar(std::uint16_t port) {
        std::unique_ptr<Client> client;
        while (!stopping_) {
            send_request(port, client);
            if (client && draw(0, 1) < kLeavingShare) {
                client.reset();
            }
            sleep_for(draw(0, 0.2));
        }
    }

    // Sends one request and waits for its answer; leaves `client` empty if the connection is over.
    void send_request(std::uint16_t port, std::unique_ptr<Client>& client) {
        const std::string id = new_id();
        const double begun = now();
        const double over = begun + kTimeMs * 1e-3;
        while (now() < over) {
            const bool is_new = !client;
            if (is_new) {
                client = std::make_unique<Client>();
                if (!client->connect(port)) {
                    client.reset();
                    sleep_for(0.05);
                    continue;
                }
            }
            const int left_ms = static_cast<int>((over - now()) * 1e3);
            const bool written = client->send(read_statement(id, "quote", left_ms));
            record_.line("client sent id=%s d=%d%s", id.c_str(), left_ms,
                         is_new ? " on a new connection" : "");
            Answer answer;
            if (written) {
                answer = client->read_answer(over + kLateBy, is_new);
            }
            if (answer.kind == Answer::Kind::closed) {
                // Not read by the sidecar: the client sends it once more, on a new connection.
                client.reset();
                const std::lock_guard<std::mutex> guard(mutex_);
                ++again_;
                continue;
            }
            record_.line("client got id=%s: %s %s", id.c_str(), answer.text(), answer.code.c_str());
            count(id, answer);
            if (answer.kind == Answer::Kind::timed_out) {
                client.reset();
            }
            return;
        }
    }

    void count(const std::string& id, const Answer& answer) {
        const std::lock_guard<std::mutex> guard(mutex_);
        switch (answer.kind) {
            case Answer::Kind::row:
                ++rows_;
                wrong_ += answer.value != "v:" + id ? 1 : 0;
                break;
            case Answer::Kind::refused:
                ++refused_;
                break;
            case Answer::Kind::timed_out:
                ++lost_;
                if (lost_ <= 10) {
                    record_.say("LOST id=%s: no answer %.2f s after its time", id.c_str(), kLateBy);
                } else {
                    record_.line("LOST id=%s", id.c_str());
                }
                break;
            default:
                ++failed_;
        }
    }

    const std::string root_;
    Record record_;
    const TemporaryFolder temporary_;
    std::atomic<bool> troubled_{false};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    int rows_ = 0;
    int refused_ = 0;
    int failed_ = 0;
    int wrong_ = 0;
    int again_ = 0;
    int lost_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: case1 ROOT FOLDER\n");
        return 2;
    }
    now();
    ::signal(SIGPIPE, SIG_IGN);
    int result = 2;
    {
        Run run(argv[1], argv[2]);
        result = run.play();
    }
    std::fflush(nullptr);
    std::_Exit(result);
}
