// The server side of HTTP/1.1, as far as the fakes of discovery and release platform need it.
#pragma once

#include <charconv>
#include <string>

#include "fakes/server.hpp"

namespace tideline::fakes {

// One connection. Its Owner provides void on_request(HttpPeer<Owner>&, method, path, body) and
// void on_peer_closed(int number).
template <class Owner>
class HttpPeer : public net::TcpConnection {
  public:
    HttpPeer(net::EventLoop& loop, Owner& owner, int its_number)
        : TcpConnection(loop), number(its_number), owner_(owner) {}
    const int number;
    bool streams = false;  // its answer is a stream that stays open

    // Sends a complete answer.
    void answer(int status, const std::string& body) {
        put("HTTP/1.1 " + std::to_string(status) +
            " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    // Begins an answer that stays open; send_line() appends to it.
    void stream() {
        streams = true;
        put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    void send_line(const std::string& text) {
        char size[20];
        const auto end = std::to_chars(size, size + sizeof size, text.size() + 1, 16).ptr;
        put(std::string(size, end) + "\r\n" + text + "\n\r\n");
    }

  protected:
    void on_received() override {
        while (!closed()) {
            const std::string_view all = in_.all();
            const auto end = all.find("\r\n\r\n");
            if (end == std::string_view::npos) {
                return;
            }
            std::size_t length = 0;
            if (const auto at = all.find("Content-Length: "); at < end) {
                std::from_chars(all.data() + at + 16, all.data() + end, length);
            }
            if (all.size() < end + 4 + length) {
                return;
            }
            const auto first_space = all.find(' ');
            const auto second_space = all.find(' ', first_space + 1);
            const std::string method(all.substr(0, first_space));
            const std::string path(all.substr(first_space + 1, second_space - first_space - 1));
            const std::string body(all.substr(end + 4, length));
            in_.drop(end + 4 + length);
            owner_.on_request(*this, method, path, body);
        }
    }
    void on_closed() override {
        owner_.on_peer_closed(number);
    }

  private:
    Owner& owner_;
};

}  // namespace tideline::fakes
