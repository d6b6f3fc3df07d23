// A keyed request runs in both server rooms.
//
// Four sidecars form a fleet with three planners and replication (copies = 2, least = 2, otherwise =
// "throttle"). Two server rooms have two pods each; the pods of one room drop a repeat of
// issue-policy for 12 s, those of the other do not know of it. All sidecars get quotes, which are
// served. The pods of the room fabryczna are in trouble: of the attempts of an issue-policy that
// comes to this room first, the first two run and their connections are reset under the request;
// the next two meet a pod that stands still for 0.4 s and then turns them away with 53300. For each of
// 50 keys an impatient client sends the request to sidecar n1 (or n3), and 0.3 s later, with no answer
// yet, once more to n2 (or n4), with a new id and the same key. It keeps both connections and waits
// for both answers.
//
// The rule is broken if a key takes effect twice: an attempt runs in one room, and less than 12 s later
// one runs in the other. TROUBLE=0: the pods serve all requests, and no connection is reset.
#include "fleet.hpp"

using namespace harness;

namespace {

constexpr int kMembers = 4;
constexpr int kKeys = 50;
constexpr double kRetryAfter = 0.3;  // s
constexpr int kTimeMs = 6000;
constexpr double kWindow = 12;  // s for which the pods of a room drop a repeat
constexpr int kResets = 2;
constexpr int kTurnedAway = 2;
constexpr double kStandsStill = 0.4;  // s
constexpr int kQuoteClients = 8;
constexpr const char* kTroubledRoom = "fabryczna";

struct Effect {
    double at = 0;
    std::string room;
    std::string pod;
    std::string id;
};

struct Key {
    std::string first_room;  // the room that got the first attempt
    int attempts_there = 0;
    std::vector<Effect> effects;
};

class Run {
  public:
    Run(const std::string& root, const std::string& folder)
        : root_(root), record_(folder + "/record.txt") {}

    int play() {
        std::vector<std::unique_ptr<Pod>> pods;
        std::vector<std::string> entries;
        for (int i = 0; i < 4; ++i) {
            const std::string room = i % 2 == 0 ? "fabryczna" : "krzyki";
            pods.push_back(std::make_unique<Pod>(
                "p" + std::to_string(i + 1) + "-" + room, record_,
                [this, room](const Received& got) { return answer_to(room, got); }));
            entries.push_back(
                list_entry(pods.back()->name(), pods.back()->port(), room, 1 + i % 2, 41));
        }
        const std::string list = whole_list(entries);
        const Discovery discovery(list);
        const Platform platform;
        Fleet::Options options;
        options.members = kMembers;
        Fleet fleet(root_, record_, options, [&](int member, std::uint16_t listen) {
            return sidecar_config("n" + std::to_string(member + 1), listen, discovery.port(),
                                  platform.port(), list, settings());
        });
        if (!fleet.start(40)) {
            record_.say("the fleet is not ready");
            fleet.stop();
            return 2;
        }
        record_.say("fleet ready, all shards complete; TROUBLE=%d", trouble() ? 1 : 0);
        std::vector<std::thread> clients;
        for (int i = 0; i < kQuoteClients; ++i) {
            const std::uint16_t port = fleet.client_port(i % kMembers);
            clients.emplace_back([this, port] { send_quotes(port); });
        }
        for (int i = 0; i < kKeys; ++i) {
            const int sidecar = i % 2 == 0 ? 0 : 2;
            clients.emplace_back([this, &fleet, sidecar] { send_twice(fleet, sidecar); });
            sleep_for(0.75);
        }
        stopping_ = true;
        for (std::thread& client : clients) {
            client.join();
        }
        fleet.stop();
        return judge();
    }

  private:
    static std::string settings() {
        return sidecar_settings(
            {{"rate-quote", "free", 1200, 5000, 2, "all", 0},
             {"issue-policy", "guarded", 1500, 6000, 2, "zone", 12000},
             {"charge-instalment", "single_shot", 1000, 4000, 6, "all", 0}},
            kMembers, "[\"fabryczna\",\"krzyki\"]", 4, 250, "subscribe");
    }

    Behaviour answer_to(const std::string& room, const Received& got) {
        const std::lock_guard<std::mutex> guard(mutex_);
        ++attempts_;
        if (got.key.empty()) {
            return {Behaviour::Kind::row, 0.05};
        }
        Key& key = keys_[got.key];
        if (key.first_room.empty()) {
            key.first_room = room;
        }
        const bool troubled = trouble() && room == kTroubledRoom && room == key.first_room;
        const int number_there = troubled ? ++key.attempts_there : 0;
        Behaviour behaviour{Behaviour::Kind::row,
                            std::uniform_real_distribution<>(0.08, 0.12)(random_)};
        if (number_there > kResets && number_there <= kResets + kTurnedAway) {
            return {Behaviour::Kind::turn_away, kStandsStill};
        }
        if (number_there > 0 && number_there <= kResets) {
            behaviour.kind = Behaviour::Kind::reset;
            ++resets_;
        }
        for (const Effect& each : key.effects) {
            if (each.room == room && got.at - each.at < kWindow) {
                return behaviour;  // a repeat, which is dropped
            }
        }
        key.effects.push_back({got.at, room, got.pod, got.id});
        record_.line("EFFECT k=%s id=%s in %s by %s", got.key.c_str(), got.id.c_str(), room.c_str(),
                     got.pod.c_str());
        return behaviour;
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
            if (!client->send(read_statement(new_id(), "rate-quote", 5000)) ||
                client->read(now() + 6).kind == Answer::Kind::closed) {
                client.reset();
            }
            sleep_for(0.15);
        }
    }

    void send_twice(const Fleet& fleet, int sidecar) {
        const std::string key = new_id();
        Client first;
        Client second;
        if (!first.open(fleet.client_port(sidecar)) || !second.open(fleet.client_port(sidecar + 1))) {
            return;
        }
        const std::string first_id = new_id();
        first.send(write_statement(first_id, "issue-policy", kTimeMs, key));
        const double sent = now();
        record_.line("client sent id=%s k=%s to n%d", first_id.c_str(), key.c_str(), sidecar + 1);
        const Answer early = first.read(sent + kRetryAfter);
        if (early.kind != Answer::Kind::timed_out) {
            record_.line("client got id=%s: %s %s", first_id.c_str(), early.text(),
                         early.code.c_str());
            return;
        }
        const std::string second_id = new_id();
        second.send(write_statement(second_id, "issue-policy", kTimeMs, key));
        record_.line("client sent id=%s k=%s to n%d", second_id.c_str(), key.c_str(), sidecar + 2);
        const Answer answer = first.read(sent + 8);
        record_.line("client got id=%s: %s %s", first_id.c_str(), answer.text(),
                     answer.code.c_str());
        const Answer other = second.read(sent + 8);
        record_.line("client got id=%s: %s %s", second_id.c_str(), other.text(),
                     other.code.c_str());
    }

    int judge() {
        int twice = 0;
        int by_one_request = 0;
        for (const auto& [name, key] : keys_) {
            if (key.effects.size() < 2) {
                continue;
            }
            ++twice;
            const Effect& one = key.effects[0];
            const Effect& two = key.effects[1];
            by_one_request += one.id == two.id ? 1 : 0;
            record_.say("TWICE k=%s: id=%s in %s at %.3f, id=%s in %s at %.3f", name.c_str(),
                        one.id.c_str(), one.room.c_str(), one.at, two.id.c_str(), two.room.c_str(),
                        two.at);
        }
        record_.say("attempts %d, of them reset %d", attempts_, resets_);
        record_.say("keys %zu, run in both rooms %d, of them both times for one request %d",
                    keys_.size(), twice, by_one_request);
        if (keys_.size() < kKeys / 2) {
            return 2;
        }
        record_.say(twice > 0 ? "RULE BROKEN" : "rule held");
        return twice > 0 ? 1 : 0;
    }

    const std::string root_;
    Record record_;
    std::mutex mutex_;
    std::mt19937 random_{44};
    std::atomic<bool> stopping_{false};
    int attempts_ = 0;
    int resets_ = 0;
    std::map<std::string, Key> keys_;
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
