#include "planner/inquiry.hpp"

#include "fleet/frame.hpp"
#include "fleet/wire.hpp"

namespace tideline::planner {
namespace {

constexpr std::size_t kFrameMost = 64 * 1024 * 1024;  // bytes: the most an operator file may allow

}  // namespace

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
