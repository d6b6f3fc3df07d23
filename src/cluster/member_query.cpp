#include "cluster/member_query.hpp"

#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"

namespace tideline::cluster {
namespace {

constexpr std::size_t kMaxFrameBytes =
    64 * 1024 * 1024;  // the largest limit that a configuration can set

wire::Word make_request(bool audit) {
    wire::Word message;
    message.mutable_ask_fleet()->set_audit(audit);
    return message;
}
wire::Word make_request(const wire::AskHoldings& what) {
    wire::Word message;
    *message.mutable_ask_holdings() = what;
    return message;
}

}  // namespace

QueryConnection::QueryConnection(net::EventLoop& loop, const net::Address& address,
                                 const wire::Word& first)
    : TcpConnection(loop, kMaxFrameBytes + kFrameHeaderBytes) {
    open(address);
    send(first);
}
void QueryConnection::send(const wire::Word& message) {
    put(encode_message(message));
}
void QueryConnection::on_received() {
    std::string_view body;
    for (std::size_t used = 0; !finished;) {
        const FrameRead read = decode_frame(in_.all(), kMaxFrameBytes, body, used, error);
        if (read == FrameRead::more) {
            return;
        }
        wire::Word message;
        if (read == FrameRead::bad || !decode_message(body, message) || !handle(message)) {
            if (error.empty()) {
                error = "unexpected or malformed answer";
            }
            finished = true;
            return;
        }
        in_.drop(used);
    }
}
void QueryConnection::on_closed() {
    finished = true;
    if (error.empty()) {
        error = "the connection ended";
    }
}

MembersQuery::MembersQuery(net::EventLoop& loop, const net::Address& address, bool audit)
    : QueryConnection(loop, address, make_request(audit)) {}
bool MembersQuery::handle(const wire::Word& message) {
    if (!message.has_fleet()) {
        return false;
    }
    last_answer = message.fleet();
    for (const wire::Row& row : last_answer.rows()) {
        rows.push_back(row);
    }
    if (last_answer.last()) {
        complete = finished = true;
    }
    return true;
}

ReplicationQuery::ReplicationQuery(net::EventLoop& loop, const net::Address& address,
                                   const wire::AskHoldings& what)
    : QueryConnection(loop, address, make_request(what)) {}
bool ReplicationQuery::handle(const wire::Word& message) {
    if (!message.has_holdings()) {
        return false;
    }
    answer = message.holdings();
    answered = finished = true;
    return true;
}

}  // namespace tideline::cluster
