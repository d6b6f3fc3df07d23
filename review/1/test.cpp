// A client gets the value of another request: a second answer that comes late, because its pod stood
// still.
//
// One sidecar, twelve pods. Of the answers of all pods a tenth come twice: the second copy is written 5
// to 15 ms after the first. A third of the pods stand still for 50 to 600 ms, at the earliest 0.8 s after
// the last time and each time just after an answer that comes twice, so that its second copy is written
// when the pod goes on. A pod reads the next query of a connection after that. The rule is broken if a
// client is served with a value that no pod made for its request.
//
// TROUBLE=0: no pod stands still, and each answer comes once.
#include "harness.hpp"

using namespace harness;

namespace {

constexpr int kPods = 12;
constexpr int kClients = 32;
constexpr double kTraffic = 60;       // s, of which the troubles last 35
constexpr double kTroubleFrom = 3;    // s
constexpr double kTroubleFor = 35;    // s
constexpr double kTwiceShare = 0.1;

std::mutex random_mutex;
std::mt19937 random_numbers{44};

double draw(double from, double to) {
    const std::lock_guard<std::mutex> guard(random_mutex);
    return std::uniform_real_distribution<>(from, to)(random_numbers);
}

// A pod that may stand still, and may give an answer twice.
class PausingPod {
  public:
    PausingPod(std::string name, Record& record, const std::atomic<bool>& troubled)
        : name_(std::move(name)), record_(record), troubled_(troubled) {
        listening_ = listen_anywhere(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    set_no_delay(fd);
                    std::thread([this, fd] { serve(fd); }).detach();
                }
            }
        }).detach();
    }
    // From now on the pod stands still at times.
    void begin_pauses() {
        pauses_ = true;
    }
    const std::string& name() const {
        return name_;
    }
    std::uint16_t port() const {
        return port_;
    }
    int second_copies() const {
        return second_copies_;
    }

  private:
    void work(double seconds) const {
        const double until = now() + seconds;
        sleep_until(until);
        while (now() < still_until_) {
            sleep_until(still_until_);
        }
    }
    void serve(int fd) {
        Reader reader(fd);
        if (!reader.need(4)) {
            ::close(fd);
            return;
        }
        const std::string size = reader.take(4);
        if (!reader.need(number_from(size, 0) - 4)) {
            ::close(fd);
            return;
        }
        reader.take(number_from(size, 0) - 4);
        work(0);
        write_all(fd, message('R', number(0)) + message('K', number(1) + number(1)) +
                          ready_for_query());
        while (reader.need(5)) {
            work(0);
            const std::string head = reader.take(5);
            const std::size_t length = number_from(head, 1) - 4;
            if (head[0] != 'Q' || !reader.need(length)) {
                break;
            }
            const std::string statement = reader.take(length);
            const std::string id = comment_field(statement, "id");
            const bool issue = comment_field(statement, "c") == "policy-issue";
            work(issue ? draw(0.18, 0.32) : draw(0.074, 0.13));
            const std::string answer = row_answer("v:" + id, "SELECT 1") + ready_for_query();
            record_.line("pod %s answers id=%s", name_.c_str(), id.c_str());
            if (!write_all(fd, answer)) {
                break;
            }
            if (troubled_ && draw(0, 1) < kTwiceShare) {
                stand_still_if_due();
                work(draw(0.005, 0.015));
                ++second_copies_;
                record_.line("pod %s answers id=%s a second time", name_.c_str(), id.c_str());
                if (!write_all(fd, answer)) {
                    break;
                }
            }
        }
        ::close(fd);
    }
    // The whole pod does nothing for a while, if the last time is long enough ago.
    void stand_still_if_due() {
        const std::lock_guard<std::mutex> guard(mutex_);
        if (!pauses_ || now() < next_pause_) {
            return;
        }
        const double length = draw(0.05, 0.6);
        still_until_ = now() + length;
        next_pause_ = now() + length + draw(0.8, 3);
        record_.line("pod %s stands still for %.3f s", name_.c_str(), length);
    }

    const std::string name_;
    Record& record_;
    const std::atomic<bool>& troubled_;
    std::mutex mutex_;
    std::atomic<bool> pauses_{false};
    double next_pause_ = 0;
    int listening_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<double> still_until_{0};
    std::atomic<int> second_copies_{0};
};

class Run {
  public:
    Run(const std::string& root, const std::string& folder)
        : root_(root), record_(folder + "/record.txt") {}

    int play() {
        std::vector<std::unique_ptr<PausingPod>> pods;
        std::vector<std::string> entries;
        for (int i = 0; i < kPods; ++i) {
            pods.push_back(
                std::make_unique<PausingPod>("p" + std::to_string(i + 1), record_, troubled_));
            entries.push_back(list_entry(pods.back()->name(), pods.back()->port(), "a", 1, 41));
        }
        const std::string list = whole_list(entries);
        const Discovery discovery(list);
        const Platform platform;
        const std::uint16_t port = free_port();
        write_file(temporary_.path() + "/config.json",
                   sidecar_config("n1", port, discovery.port(), platform.port(), list, settings()));
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
        record_.say("sidecar ready; TROUBLE=%d", trouble() ? 1 : 0);
        const double begin = now();
        std::vector<std::thread> threads;
        for (int i = 0; i < kClients; ++i) {
            threads.emplace_back([this, port] { use_sidecar(port); });
        }
        sleep_until(begin + kTroubleFrom);
        troubled_ = trouble();
        const double trouble_until = begin + kTroubleFrom + kTroubleFor;
        for (int i = 0; i < kPods / 3; ++i) {
            pods[static_cast<std::size_t>(i)]->begin_pauses();
        }
        sleep_until(trouble_until);
        troubled_ = false;
        sleep_until(begin + kTraffic - 20);
        stopping_ = true;
        for (std::thread& each : threads) {
            each.join();
        }
        sidecar.stop();
        int second_copies = 0;
        for (const auto& pod : pods) {
            second_copies += pod->second_copies();
        }
        record_.say("answers %d (rows %d), second copies by the pods %d", answers_, rows_,
                    second_copies);
        record_.say("served with the value of another request: %d", foreign_);
        if (rows_ < 500) {
            return 2;
        }
        record_.say(foreign_ > 0 ? "RULE BROKEN" : "rule held");
        return foreign_ > 0 ? 1 : 0;
    }

  private:
    static std::string settings() {
        return sidecar_settings({{"quote", "free", 600, 2000, 3, "all", 0},
                                 {"tariff-lookup", "free", 800, 2500, 1, "all", 0},
                                 {"policy-issue", "guarded", 1500, 4000, 5, "all", 2500},
                                 {"instalment-charge", "single_shot", 750, 2500, 2, "all", 0}},
                                1, "[\"a\"]", 6, 1000, "automatic");
    }

    void use_sidecar(std::uint16_t port) {
        std::unique_ptr<Client> client;
        while (!stopping_) {
            if (!client) {
                client = std::make_unique<Client>();
                if (!client->open(port)) {
                    client.reset();
                    sleep_for(0.1);
                    continue;
                }
            }
            const std::string id = new_id();
            const bool issue = draw(0, 1) < 0.3;
            client->send(issue ? write_statement(id, "policy-issue", 4000, id)
                               : read_statement(id, "quote", 2000));
            record_.line("client sent id=%s", id.c_str());
            const Answer answer = client->read(now() + 6);
            if (answer.kind == Answer::Kind::closed || answer.kind == Answer::Kind::timed_out) {
                client.reset();
                continue;
            }
            const bool row = answer.kind == Answer::Kind::row;
            const bool foreign = row && answer.value != "v:" + id;
            {
                const std::lock_guard<std::mutex> guard(mutex_);
                ++answers_;
                rows_ += row ? 1 : 0;
                foreign_ += foreign ? 1 : 0;
            }
            record_.line("client got id=%s: %s %s", id.c_str(), answer.text(),
                         answer.value.c_str());
            if (foreign) {
                record_.say("FOREIGN: the client of id=%s got the value %s", id.c_str(),
                            answer.value.c_str());
            }
            sleep_for(draw(0, 0.2));
        }
    }

    const std::string root_;
    Record record_;
    const TemporaryFolder temporary_;
    std::atomic<bool> troubled_{false};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    int answers_ = 0;
    int rows_ = 0;
    int foreign_ = 0;
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
