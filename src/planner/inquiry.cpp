#include "planner/inquiry.hpp"

#include "fleet/frame.hpp"
#include "fleet/wire.hpp"

namespace tideline::planner {
namespace {

constexpr std::size_t kFrameMost = 64 * 1024 * 1024;  // bytes: the most an operator file may allow
constexpr Seconds kWatchEvery = 5;                    // s: a planner forgets a watcher after three times that

}  // namespace

Watch::Watch(net::Loop& loop, const net::Address& address, std::function<void(const wire::Holds&)> told)
    : Link(loop, kFrameMost + fleet::kFrameHead), told_(std::move(told)) {
    open(address);
    ask();
}
Watch::~Watch() { loop_.due.cancel(again_); }
void Watch::ask() {
    wire::Word word;
    word.mutable_lease_ask()->set_what(wire::LeaseAsk::WATCH);
    put(fleet::frame_with(word));
    again_ = loop_.due.at(net::clock_now() + kWatchEvery, [this] { ask(); });
}
void Watch::came_in() {
    std::string_view body;
    std::string why;
    for (std::size_t used = 0; !over;) {
        const auto read = fleet::next_frame(in_.all(), kFrameMost, body, used, why);
        if (read == fleet::FrameRead::more) return;
        wire::Word word;
        over = read == fleet::FrameRead::bad || !fleet::read_word(body, word);
        in_.drop(used);
        if (!over && word.has_holds()) told_(word.holds());
    }
}

Inquiry::Inquiry(net::Loop& loop, const net::Address& address, const wire::LeaseAsk& ask)
    : Link(loop, kFrameMost + fleet::kFrameHead) {
    wire::Word word;
    *word.mutable_lease_ask() = ask;
    open(address);
    put(fleet::frame_with(word));
}
void Inquiry::came_in() {
    std::string_view body;
    for (std::size_t used = 0; !over;) {
        const auto read = fleet::next_frame(in_.all(), kFrameMost, body, used, why);
        if (read == fleet::FrameRead::more) return;
        wire::Word word;
        if (read == fleet::FrameRead::bad || !fleet::read_word(body, word) || !word.has_lease_answer()) {
            if (why.empty()) why = "an answer to something else";
            over = true;
            return;
        }
        in_.drop(used);
        answer = word.lease_answer();
        answered = over = true;
    }
}
void Inquiry::ended() {
    over = true;
    if (why.empty()) why = "the connection ended";
}

}  // namespace tideline::planner
