#include "net/release_platform_client.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace tideline::net {
namespace {

using nlohmann::json;

// Disables the timeout of the stream: this client checks for silence itself, because a silent feed
// is kept until another one sends something.
constexpr Seconds kNoSilenceTimeout = 1e9;

std::optional<Phase> phase_of(const std::string& status) {
    if (status == "canary") {
        return Phase::trial;
    }
    if (status == "reverting") {
        return Phase::reverting;
    }
    if (status == "stable") {
        return Phase::released;
    }
    if (status == "reverted") {
        return Phase::withdrawn;
    }
    return std::nullopt;
}

const char* wire_text_of(Vote vote) {
    switch (vote) {
        case Vote::on:
            return "approve";
        case Vote::hold:
            return "wait";
        case Vote::back:
            return "reject";
        default:
            return "clear";
    }
}

}  // namespace

ReleasePlatformClient::ReleasePlatformClient(EventLoop& loop, Owner& owner, Address address,
                                             Seconds vote_timeout, std::uint64_t seed)
    : loop_(loop),
      owner_(owner),
      address_(address),
      vote_timeout_(vote_timeout),
      random_(static_cast<std::uint32_t>(seed >> 8 ^ seed >> 40)),
      feeds_{HttpStreamCall(loop, address), HttpStreamCall(loop, address)} {}
ReleasePlatformClient::~ReleasePlatformClient() {
    loop_.timers.cancel(maintain_timer_);
    for (auto& connection : vote_connections_) {
        connection->close();
    }
}

bool ReleasePlatformClient::read_state(const json& state) {
    try {
        const auto phase = phase_of(state.at("status").get<std::string>());
        if (!phase) {
            return false;
        }
        const auto version = state.at("version").get<int>();
        const auto step = state.at("step").get<int>();
        const auto cap = state.at("maxWeight").get<double>();
        const auto milliseconds = state.value("observedAgoMs", 0.0);
        if (version < 0 || step < 0 || !(cap >= 0 && cap <= 1) || !(milliseconds >= 0)) {
            return false;
        }
        owner_.stage_announced(Build{version}, Stage{step}, *phase, cap, milliseconds * 1e-3);
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

// --- The feed

void ReleasePlatformClient::begin() {
    maintain_feed();
}

// Events sent while no feed is open are lost, and so is the answer to a vote whose connection is
// closed. Therefore the old feed stays open until the new one has sent something, and the old
// connection until its votes have been answered.
void ReleasePlatformClient::move(Address address) {
    if (address == address_) {
        return;
    }
    address_ = address;
    for (HttpStreamCall& feed : feeds_) {
        feed.move(address);
    }
    feeds_[1 - current_].drop();
    moving_ = feeds_[current_].open();
    backoff_ = kInitialReconnectBackoff;
    maintain_feed();
    if (!vote_connections_.empty() && !vote_connections_.back()->drain()) {
        remove(*vote_connections_.back());
    }
}

void ReleasePlatformClient::maintain_feed_after(Seconds delay) {
    loop_.timers.cancel(maintain_timer_);
    maintain_timer_ = loop_.timers.at(clock_now() + delay, [this] {
        maintain_timer_ = Timers::kNone;
        maintain_feed();
    });
}

// Events sent while no feed is open are lost, so a silent feed is kept until another one has sent
// something. If the platform itself is silent, replacing the feed would not help.
void ReleasePlatformClient::maintain_feed() {
    const Seconds now = clock_now();
    const bool is_open = feeds_[current_].open();
    if (is_open && !moving_ && now - last_received_ < kFeedSilenceTimeout) {
        return maintain_feed_after(last_received_ + kFeedSilenceTimeout - now);
    }
    const bool try_other = is_open && (moving_ || last_received_ > 0);
    const int feed_index = try_other ? 1 - current_ : current_;
    if (!feeds_[feed_index].open()) {
        log_feed_opened();
        open_feed(feed_index);
    }
    const double jitter =
        static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
    maintain_feed_after(backoff_ * (0.5 + jitter));
    backoff_ = std::min(kMaxReconnectBackoff, 2 * backoff_);
}

void ReleasePlatformClient::log_feed_opened() const {
    if (last_received_ <= 0) {
        return;
    }
    if (!feeds_[current_].open()) {
        owner_.platform_event("feed reopened");
    } else if (moving_) {
        owner_.platform_event("feed opened at new address");
    } else {
        owner_.platform_event("feed silent: opening another");
    }
}

void ReleasePlatformClient::open_feed(int feed_index) {
    HttpStreamCall::Callbacks callbacks;
    callbacks.object = [this, feed_index](const std::string& text) {
        feed_object_received(feed_index, text);
    };
    callbacks.completed = [this, feed_index] { feed_lost(feed_index, "ended"); };
    callbacks.lost = [this, feed_index](const CallLoss& loss) {
        feed_lost(feed_index, loss.text());
    };
    feeds_[feed_index].begin("/api/feed", kFeedSilenceTimeout, kNoSilenceTimeout, callbacks);
}

void ReleasePlatformClient::feed_lost(int feed_index, const std::string& reason) {
    feeds_[feed_index].drop();
    owner_.platform_event("feed lost: reason=" + reason);
    if (feed_index == current_) {
        moving_ = false;  // the next feed is opened at the current address
        if (feeds_[1 - feed_index].open()) {
            current_ = 1 - feed_index;
        }
    }
    maintain_feed_after(backoff_);
}

void ReleasePlatformClient::feed_object_received(int feed_index, const std::string& text) {
    last_received_ = clock_now();
    backoff_ = kInitialReconnectBackoff;
    // After a move, the old feed still sends events, and must not end the one that is about to
    // replace it.
    if (!moving_ || feed_index != current_) {
        feeds_[1 - feed_index].drop();
        current_ = feed_index;
        moving_ = false;
        maintain_feed_after(kFeedSilenceTimeout);
    }
    if (text.empty()) {
        return;  // a heartbeat
    }
    const json event = json::parse(text, nullptr, false);
    if (event.is_discarded()) {
        return feed_lost(feed_index, "unreadable_line");
    }
    read_event(event);
}

// Events of other types and malformed ones are ignored.
void ReleasePlatformClient::read_event(const json& event) {
    const auto object = event.find("object");
    if (!event.is_object() || object == event.end() || !object->is_object()) {
        return;
    }
    try {
        const std::string type = event.value("type", "");
        if (type == "ROLLOUT") {
            read_state(*object);
        }
        const double milliseconds = type == "DISPUTE" ? object->value("observedAgoMs", 0.0) : -1.0;
        if (milliseconds >= 0) {
            owner_.answer_flagged(object->at("kind").get<std::string>(),
                                  EndpointId{object->at("pod").get<std::string>()},
                                  milliseconds * 1e-3);
        }
    } catch (const json::exception&) {
        return;
    }
}

// --- Votes

void ReleasePlatformClient::vote(Build build, Stage stage, Vote vote) {
    const bool usable = !vote_connections_.empty() && !vote_connections_.back()->draining() &&
                        !vote_connections_.back()->closed();
    if (!usable) {
        VoteConnection::Owner& connection_owner = *this;
        vote_connections_.push_back(
            std::make_unique<VoteConnection>(loop_, connection_owner, address_, vote_timeout_));
    }
    const json body = {
        {"version", build.value}, {"step", stage.value}, {"vote", wire_text_of(vote)}};
    vote_connections_.back()->send(body.dump());
}

void ReleasePlatformClient::remove(VoteConnection& connection) {
    const auto found =
        std::find_if(vote_connections_.begin(), vote_connections_.end(),
                     [&](const auto& candidate) { return candidate.get() == &connection; });
    if (found == vote_connections_.end()) {
        return;
    }
    connection.close();
    loop_.destroy_after_pass(std::move(*found));
    vote_connections_.erase(found);
}

}  // namespace tideline::net
