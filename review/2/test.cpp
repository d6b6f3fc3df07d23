// A keyed request takes effect twice: it is sent again after the time for which the pods remember it,
// by a sidecar that was held up between reading its clock and writing.
//
// One sidecar, 16 sound pods, which together drop a repeat of policy-issue for 2.5 s. Every 0.75 s 32
// clients send a policy-issue each; others send quotes. For 38 s 14 of the pods lose three answers in
// ten of policy-issue: the work runs, and 2.48 s after the request came in its connection is reset.
// All resets of one batch come at once, as when links or pods fail; then the sidecar is held up once
// (SIGSTOP, SIGCONT) for 0.145 s in all, counted from the first reset.
//
// The rule is broken if a key takes effect twice: a further attempt reaches a pod more than 2.5 s (and
// 50 ms) after the first one that ran.
//
// TROUBLE=0: no answer is lost, and the sidecar is not held up. For comparison: HOLD=0 leaves out the
// hold-ups alone.
#include "harness.hpp"

using namespace harness;

namespace {

constexpr int kPods = 16;
constexpr int kTroubledPods = 14;       // a part of 0.875
constexpr double kLostShare = 0.3;      // of the answers to policy-issue at these pods
constexpr double kWindow = 2.5;         // s for which the pods drop a repeat
constexpr double kSlack = 0.05;         // s
constexpr double kResetAt = 2.48;       // s after the batch was sent
constexpr double kMostDelay = 0.0005;   // s from the first reset to SIGSTOP
constexpr int kBatches = 48;
constexpr double kBatchInterval = 0.75;  // s
constexpr int kBatchSize = 32;
constexpr int kQuoteClients = 16;
constexpr int kTimeMs = 4000;

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

// What all pods know together.
class Memory {
  public:
    explicit Memory(Record& record) : record_(record) {}
    // An attempt of a key has reached a pod. Returns whether it is the first one.
    bool attempt(const std::string& key, const std::string& id, const std::string& pod, double at) {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = ran_at_.find(key);
        if (found == ran_at_.end()) {
            ran_at_[key] = at;
            record_.line("EFFECT k=%s id=%s at %s", key.c_str(), id.c_str(), pod.c_str());
            return true;
        }
        const double age = at - found->second;
        ++repeats_;
        if (age > kWindow + kSlack) {
            ++twice_;
            record_.say("TWICE k=%s id=%s at %s, %.3f s after the first time", key.c_str(),
                        id.c_str(), pod.c_str(), age);
        } else {
            record_.line("repeat of k=%s dropped at %s, %.3f s after the first time", key.c_str(),
                         pod.c_str(), age);
        }
        return false;
    }
    // From now on the answer of this connection's request is lost, until its batch is reset.
    void hold(int batch, int fd) {
        const std::lock_guard<std::mutex> guard(mutex_);
        held_[batch].push_back(fd);
    }
    std::vector<int> take_held(int batch) {
        const std::lock_guard<std::mutex> guard(mutex_);
        std::vector<int> taken;
        taken.swap(held_[batch]);
        return taken;
    }
    std::size_t keys() {
        const std::lock_guard<std::mutex> guard(mutex_);
        return ran_at_.size();
    }
    int repeats() const {
        return repeats_;
    }
    int twice() const {
        return twice_;
    }

  private:
    Record& record_;
    std::mutex mutex_;
    std::map<std::string, double> ran_at_;
    std::map<int, std::vector<int>> held_;
    std::atomic<int> repeats_{0};
    std::atomic<int> twice_{0};
};

class LosingPod {
  public:
    LosingPod(std::string name, Memory& memory, const std::atomic<bool>& troubled)
        : name_(std::move(name)), memory_(memory), troubled_(troubled) {
        listening_ = listen_anywhere(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    set_no_delay(fd);
                    std::thread([this, fd] {
                        if (!serve(fd)) {
                            ::close(fd);
                        }
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

  private:
    // Returns whether the connection now belongs to the memory, which will reset it.
    bool serve(int fd) {
        Reader reader(fd);
        if (!reader.need(4)) {
            return false;
        }
        const std::string size = reader.take(4);
        if (!reader.need(number_from(size, 0) - 4)) {
            return false;
        }
        reader.take(number_from(size, 0) - 4);
        write_all(fd, message('R', number(0)) + message('K', number(1) + number(1)) +
                          ready_for_query());
        while (reader.need(5)) {
            const std::string head = reader.take(5);
            const std::size_t length = number_from(head, 1) - 4;
            if (head[0] != 'Q' || !reader.need(length)) {
                return false;
            }
            const std::string statement = reader.take(length);
            const double at = now();
            const std::string id = comment_field(statement, "id");
            const std::string key = comment_field(statement, "k");
            const bool first = !key.empty() && memory_.attempt(key, id, name_, at);
            if (first && troubled_ && draw(0, 1) < kLostShare) {
                // The batch stands before the dash in the key.
                memory_.hold(std::atoi(key.c_str()), fd);
                return true;
            }
            sleep_for(key.empty() ? draw(0.074, 0.13) : draw(0.18, 0.32));
            if (!write_all(fd, row_answer("v:" + id, "SELECT 1") + ready_for_query())) {
                return false;
            }
        }
        return false;
    }

    const std::string name_;
    Memory& memory_;
    const std::atomic<bool>& troubled_;
    int listening_ = -1;
    std::uint16_t port_ = 0;
};

class Run {
  public:
    Run(const std::string& root, const std::string& folder)
        : root_(root), record_(folder + "/record.txt"), memory_(record_) {}

    int play() {
        std::vector<std::unique_ptr<LosingPod>> pods;
        std::vector<std::string> entries;
        for (int i = 0; i < kPods; ++i) {
            pods.push_back(std::make_unique<LosingPod>("p" + std::to_string(i + 1), memory_,
                                                       i < kTroubledPods ? troubled_ : sound_));
            entries.push_back(list_entry(pods.back()->name(), pods.back()->port(), "a", 1, 41));
        }
        const std::string list = whole_list(entries);
        const Discovery discovery(list);
        const Platform platform;
        const std::uint16_t port = free_port();
        write_file(temporary_.path() + "/config.json",
                   sidecar_config("n1", port, discovery.port(), platform.port(), list, settings()));
        sidecar_.start(root_, "exec build/tideline", temporary_.path() + "/sidecar.log",
                       {{"PROXY_NAME", "n1"},
                        {"PROXY_LISTEN", at(port)},
                        {"PROXY_DISCOVERY", at(discovery.port())},
                        {"PROXY_CONFIG", temporary_.path() + "/config.json"}});
        if (!wait_until_ready(port, 30)) {
            record_.say("the sidecar is not ready");
            return 2;
        }
        record_.say("sidecar ready; TROUBLE=%d", trouble() ? 1 : 0);
        std::vector<std::thread> clients;
        for (int i = 0; i < kQuoteClients; ++i) {
            clients.emplace_back([this, port] { send_quotes(port); });
        }
        sleep_for(2);
        troubled_ = trouble();
        const double begin = now() + 0.5;
        std::vector<std::thread> batches;
        for (int i = 0; i < kBatches; ++i) {
            const double sent_at = begin + i * kBatchInterval;
            for (int j = 0; j < kBatchSize; ++j) {
                clients.emplace_back([this, port, i, sent_at] { send_issue(port, i, sent_at); });
            }
            batches.emplace_back([this, i, sent_at] { end_batch(i, sent_at); });
            sleep_until(sent_at + kBatchInterval / 2);
        }
        for (std::thread& each : batches) {
            each.join();
        }
        troubled_ = false;
        stopping_ = true;
        for (std::thread& each : clients) {
            each.join();
        }
        sidecar_.stop();
        record_.say("policy-issue: values %d, refused %d, failed %d; keys that ran %zu",
                    values_.load(), refused_.load(), failed_.load(), memory_.keys());
        record_.say("connections reset %d, hold-ups %d, further attempts %d, keys that took effect "
                    "twice %d",
                    resets_.load(), hold_ups_.load(), memory_.repeats(), memory_.twice());
        if (values_ < 100) {
            return 2;
        }
        record_.say(memory_.twice() > 0 ? "RULE BROKEN" : "rule held");
        return memory_.twice() > 0 ? 1 : 0;
    }

  private:
    static std::string settings() {
        return sidecar_settings({{"quote", "free", 600, 2000, 3, "all", 0},
                                 {"tariff-lookup", "free", 800, 2500, 1, "all", 0},
                                 {"policy-issue", "guarded", 1500, 4000, 5, "all", 2500},
                                 {"instalment-charge", "single_shot", 750, 2500, 2, "all", 0}},
                                3, "[\"a\"]", 6, 1000, "subscribe");
    }

    // Resets the connections of the batch whose answers are lost, and holds the sidecar up.
    void end_batch(int batch, double sent_at) {
        sleep_until(sent_at + kResetAt);
        const std::vector<int> held = memory_.take_held(batch);
        const double hold = option("HOLD", 0.145);
        const double delay = draw(0, kMostDelay);
        const double first = now();
        for (const int fd : held) {
            reset(fd);
        }
        while (now() < first + delay) {
        }
        if (troubled_ && hold > 0 && !held.empty()) {
            sidecar_.signal(SIGSTOP);
            sleep_until(first + hold);
            sidecar_.signal(SIGCONT);
            ++hold_ups_;
        }
        resets_ += static_cast<int>(held.size());
        record_.line("batch %d: %zu connections reset; held up from %.6f s after the first reset",
                     batch, held.size(), delay);
    }

    void send_issue(std::uint16_t port, int batch, double sent_at) {
        Client client;
        sleep_until(sent_at - 0.2);
        if (!client.open(port)) {
            return;
        }
        const std::string id = new_id();
        const std::string key = std::to_string(batch) + "-" + id;
        sleep_until(sent_at);
        client.send(write_statement(id, "policy-issue", kTimeMs, key));
        record_.line("client sent id=%s k=%s", id.c_str(), key.c_str());
        const Answer answer = client.read(sent_at + kTimeMs * 1e-3 + 0.5);
        record_.line("client got id=%s: %s %s", id.c_str(), answer.text(), answer.code.c_str());
        values_ += answer.kind == Answer::Kind::row ? 1 : 0;
        refused_ += answer.kind == Answer::Kind::refused ? 1 : 0;
        failed_ += answer.kind == Answer::Kind::failed ? 1 : 0;
    }

    void send_quotes(std::uint16_t port) {
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
            client->send(read_statement(new_id(), "quote", 2000));
            const Answer answer = client->read(now() + 3);
            if (answer.kind == Answer::Kind::closed || answer.kind == Answer::Kind::timed_out) {
                client.reset();
            }
            sleep_for(draw(0, 0.1));
        }
    }

    const std::string root_;
    Record record_;
    Memory memory_;
    const TemporaryFolder temporary_;
    Program sidecar_;
    const std::atomic<bool> sound_{false};
    std::atomic<bool> troubled_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<int> resets_{0};
    std::atomic<int> hold_ups_{0};
    std::atomic<int> values_{0};
    std::atomic<int> refused_{0};
    std::atomic<int> failed_{0};
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: case2 ROOT FOLDER\n");
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
