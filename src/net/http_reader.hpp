// Incremental parser of HTTP/1.1 responses whose body has a length, is chunked, or extends to the
// end of the connection. Takes bytes; performs no I/O.
#pragma once

#include <string>
#include <string_view>

namespace tideline::net {

class HttpReader {
  public:
    // Receives the parts of responses. Called only from within read() and connection_ended().
    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void on_head(int status) = 0;
        virtual void on_body(std::string_view bytes) = 0;  // a part of the body
        virtual void on_end() = 0;                         // the response is complete
    };

    // Parses as much of `bytes` as possible. Returns the number of bytes consumed: the rest has to
    // be passed again, followed by the bytes that arrive next.
    std::size_t read(std::string_view bytes, Handler& handler);
    // The peer has closed the connection. This ends a body without a length.
    void connection_ended(Handler& handler);
    // Returns whether malformed input has been found; nothing more is parsed after that.
    bool is_malformed() const {
        return state_ == State::malformed;
    }
    // Returns whether no response is in progress.
    bool between_responses() const {
        return state_ == State::head;
    }

  private:
    // The part of a response that is parsed next.
    enum class State {
        head,
        length,
        chunk_line,
        chunk,
        chunk_end,
        trailer,
        until_close,
        malformed
    };
    std::size_t read_part(std::string_view bytes, Handler& handler);
    std::size_t read_head(std::string_view bytes, Handler& handler);
    std::size_t read_body(std::string_view bytes, Handler& handler);
    std::size_t read_line(std::string_view bytes, Handler& handler);
    std::size_t max_line_bytes() const;
    bool parse_head(std::string_view head, Handler& handler);
    void finish(Handler& handler);

    State state_ = State::head;
    unsigned long long remaining_ = 0;  // bytes left of the body or of the current chunk
};

}  // namespace tideline::net
