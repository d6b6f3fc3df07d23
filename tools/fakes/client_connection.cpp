#include "fakes/client_connection.hpp"

#include "net/postgres_protocol.hpp"

namespace tideline::fakes {

namespace pg = net::pg;

ClientConnection::ClientConnection(net::EventLoop& loop, const net::Address& sidecar,
                                   std::function<void(ClientConnection*)> on_ended)
    : TcpConnection(loop), on_ended_(std::move(on_ended)) {
    open(sidecar);
    put(pg::startup("svc", "main"));
}
void ClientConnection::send(const std::string& statement, OnAnswer on_answer) {
    busy_ = true;
    has_answer_ = false;
    on_answer_ = std::move(on_answer);
    put(pg::query(statement));
}
void ClientConnection::on_received() {
    for (;;) {
        char type = 0;
        std::string_view body;
        std::size_t size = 0;
        if (pg::next(in_.all(), net::kMaxAnswerBytes, type, body, size) != pg::Read::whole) {
            return;
        }
        if (busy_ && (type == 'D' || type == 'E')) {
            has_answer_ = true;
            const auto code = type == 'E' ? pg::error_field(body, 'C') : std::string_view{};
            const std::string answer(type == 'D' ? body.substr(6) : pg::error_field(body, 'D'));
            on_answer_(type == 'D'                          ? CallResult::succeeded
                       : code == "53300" || code == "57P03" ? CallResult::rejected
                                                            : CallResult::failed,
                       answer);
        }
        if (type == 'Z' && has_answer_) {
            busy_ = false;
        }
        in_.drop(size);
    }
}

}  // namespace tideline::fakes
