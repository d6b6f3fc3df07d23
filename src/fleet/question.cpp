#include "fleet/question.hpp"

#include "fleet/frame.hpp"
#include "fleet/wire.hpp"

namespace tideline::fleet {
namespace {

constexpr std::size_t kFrameMost = 64 * 1024 * 1024;  // bytes: the most an operator file may allow

}  // namespace

Question::Question(net::Loop& loop, const net::Address& address, bool audit)
    : Link(loop, kFrameMost + kFrameHead) {
    wire::Word word;
    word.mutable_ask_fleet()->set_audit(audit);
    open(address);
    put(frame_with(word));
}

void Question::came_in() {
    std::string_view body;
    for (std::size_t used = 0; !over;) {
        const FrameRead read = next_frame(in_.all(), kFrameMost, body, used, why);
        if (read == FrameRead::more) return;
        wire::Word word;
        if (read == FrameRead::bad || !read_word(body, word) || !word.has_fleet()) {
            if (why.empty()) why = "an answer to something else";
            over = true;
            return;
        }
        in_.drop(used);
        head = word.fleet();
        for (const wire::Row& row : head.rows()) rows.push_back(row);
        if (head.last()) whole = over = true;
    }
}
void Question::ended() {
    over = true;
    if (why.empty()) why = "the connection ended";
}

}  // namespace tideline::fleet
