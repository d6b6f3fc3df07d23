#include "net/vote_connection.hpp"

#include <fmt/core.h>

#include <optional>

#include "net/limits.hpp"

namespace tideline::net {
namespace {

constexpr int kBadRequest = 400;

std::optional<VoteReply> reply_of(int status) {
    switch (status) {
        case 200:
            return VoteReply::counted;
        case 429:
            return VoteReply::full;
        case 409:
            return VoteReply::ignored;
        case 500:
        case kBadRequest:
            return VoteReply::failed;
        default:
            return std::nullopt;
    }
}

}  // namespace

VoteConnection::VoteConnection(EventLoop& loop, Owner& owner, const Address& address,
                               Seconds answer_timeout)
    : TcpConnection(loop), owner_(owner), answer_timeout_(answer_timeout) {
    open(address);
}
VoteConnection::~VoteConnection() {
    for (Timers::Id& limit : open_votes_) {
        loop_.timers.cancel(limit);
    }
    loop_.timers.cancel(idle_timer_);
}

void VoteConnection::send(const std::string& vote) {
    loop_.timers.cancel(idle_timer_);
    open_votes_.push_back(loop_.timers.at(clock_now() + answer_timeout_, [this] { lose(); }));
    put(
        fmt::format("POST /api/ballots HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    vote.size(), vote));
}

bool VoteConnection::drain() {
    draining_ = !open_votes_.empty();
    return draining_;
}

void VoteConnection::on_received() {
    const std::size_t used = reader_.read(in_.all(), *this);
    if (closed()) {
        return;
    }
    in_.drop(used);
    if (reader_.is_malformed()) {
        lose();
    }
}

void VoteConnection::on_closed() {
    reader_.connection_ended(*this);
    lose();
}

void VoteConnection::on_head(int status) {
    status_ = status;
    body_.clear();
}

void VoteConnection::on_body(std::string_view bytes) {
    if (body_.size() < kMaxMessageBytes) {
        body_.append(bytes);
    }
}

void VoteConnection::on_end() {
    if (open_votes_.empty()) {
        return lose();  // an answer for which there is no vote
    }
    const auto reply = reply_of(status_);
    const nlohmann::json answer = nlohmann::json::parse(body_, nullptr, false);
    if (!reply || answer.is_discarded()) {
        return lose();
    }
    if (*reply == VoteReply::counted && !owner_.read_state(answer)) {
        return lose();
    }
    loop_.timers.cancel(open_votes_.front());
    open_votes_.pop_front();
    if (open_votes_.empty()) {
        const Seconds keep = draining_ ? 0 : kVoteConnectionIdleTimeout;
        idle_timer_ = loop_.timers.at(clock_now() + keep, [this] { owner_.remove(*this); });
    }
    if (status_ == kBadRequest) {
        owner_.vote_malformed(body_);
    }
    owner_.vote_answered(*reply);
}

// Reports all open votes as unanswered. It is unknown whether such a vote was counted, unless it
// was not written completely, which can be true only of the last one.
void VoteConnection::lose() {
    const bool all_sent = up() && all_written();
    const std::size_t open = open_votes_.size();
    for (Timers::Id& limit : open_votes_) {
        loop_.timers.cancel(limit);
    }
    open_votes_.clear();
    owner_.remove(*this);
    for (std::size_t i = 1; i <= open; ++i) {
        const bool unsent = !all_sent && i == open;
        owner_.vote_answered(unsent ? VoteReply::failed : VoteReply::timed_out);
    }
}

}  // namespace tideline::net
