// Stand-ins for the cases of this review: clients, endpoints ("pods"), discovery and the release
// platform, and the start of the project's programs. POSIX and the C++ library only. Each
// connection of a stand-in has a thread of its own and uses blocking calls.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace harness {

// Seconds on the steady clock, since the first call.
inline double now() {
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleep_for(double seconds) {
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleep_until(double when) {
    sleep_for(when - now());
}

// Whether the case plays its disruption: TROUBLE=0 leaves it out.
inline bool trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// The record of a run: one line for each event, with its time.
class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) {
            std::perror(path.c_str());
            std::_Exit(2);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        va_list arguments;
        va_start(arguments, format);
        write(false, format, arguments);
        va_end(arguments);
    }
    // As line(), and to standard output as well.
    void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        va_list arguments;
        va_start(arguments, format);
        write(true, format, arguments);
        va_end(arguments);
    }

  private:
    void write(bool aloud, const char* format, va_list arguments) {
        char text[2000];
        std::vsnprintf(text, sizeof text, format, arguments);
        const std::lock_guard<std::mutex> guard(mutex_);
        std::fprintf(file_, "%8.3f %s\n", now(), text);
        std::fflush(file_);
        if (aloud) {
            std::printf("%8.3f %s\n", now(), text);
            std::fflush(stdout);
        }
    }
    std::FILE* file_;
    std::mutex mutex_;
};

// --- Sockets

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

// Returns a socket that listens at 127.0.0.1 on a free port, and that port.
inline int listen_anywhere(std::uint16_t& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    port = ntohs(address.sin_port);
    return fd;
}

// Returns a port that is free now, for a program that listens itself.
inline std::uint16_t free_port() {
    static std::mutex mutex;
    static std::map<std::uint16_t, bool> given;
    const std::lock_guard<std::mutex> guard(mutex);
    for (;;) {
        std::uint16_t port = 0;
        ::close(listen_anywhere(port));
        if (!given[port]) {
            given[port] = true;
            return port;
        }
    }
}

inline std::string at(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline void set_no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int connect_to(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

// Closes with a reset.
inline void reset(int fd) {
    const linger now_linger{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now_linger, sizeof now_linger);
    ::close(fd);
}

// Reads whole pieces from a socket.
class Reader {
  public:
    explicit Reader(int fd) : fd_(fd) {}
    // Returns false once the peer has closed, or after `until` (steady seconds; 0: no limit).
    bool need(std::size_t bytes, double until = 0) {
        while (buffer_.size() < bytes) {
            if (until > 0) {
                const double left = until - now();
                pollfd polled{fd_, POLLIN, 0};
                const int wait = left <= 0 ? 0 : static_cast<int>(left * 1e3) + 1;
                if (::poll(&polled, 1, wait) == 0 && now() >= until) {
                    timed_out_ = true;
                    return false;
                }
                if (polled.revents == 0) {
                    continue;
                }
            }
            char part[16384];
            const ssize_t got = ::recv(fd_, part, sizeof part, 0);
            if (got < 0 && errno == EINTR) {
                continue;
            }
            if (got <= 0) {
                closed_ = true;
                return false;
            }
            buffer_.append(part, static_cast<std::size_t>(got));
        }
        return true;
    }
    std::string take(std::size_t bytes) {
        std::string taken = buffer_.substr(0, bytes);
        buffer_.erase(0, bytes);
        return taken;
    }
    // Reads up to and including `end`; empty if the peer closed before.
    std::string until(const std::string& end) {
        for (;;) {
            const auto found = buffer_.find(end);
            if (found != std::string::npos) {
                return take(found + end.size());
            }
            if (!need(buffer_.size() + 1)) {
                return {};
            }
        }
    }
    bool closed() const {
        return closed_;
    }
    bool timed_out() const {
        return timed_out_;
    }
    void clear_time_out() {
        timed_out_ = false;
    }

  private:
    int fd_;
    std::string buffer_;
    bool closed_ = false;
    bool timed_out_ = false;
};

// --- PostgreSQL's protocol, version 3

inline std::string number(std::uint32_t value, int bytes = 4) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>(value >> (8 * i) & 0xff);
    }
    return text;
}
inline std::uint32_t number_from(const std::string& bytes, std::size_t at_byte) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value = value << 8 | static_cast<unsigned char>(bytes[at_byte + i]);
    }
    return value;
}
inline std::string message(char type, const std::string& body) {
    return std::string(1, type) + number(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string zero(const std::string& text) {
    return text + '\0';
}
inline std::string startup_message() {
    const std::string body =
        number(196608) + zero("user") + zero("svc") + zero("database") + zero("main") + '\0';
    return number(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string ready_for_query() {
    return message('Z', "I");
}
inline std::string error_response(const std::string& code, const std::string& text) {
    return message('E', 'S' + zero("ERROR") + 'V' + zero("ERROR") + 'C' + zero(code) + 'M' +
                            zero(text) + '\0');
}
// The answer with one row of one binary column.
inline std::string row_answer(const std::string& value, const std::string& tag) {
    return message('T', number(1, 2) + zero("v") + number(0) + number(0, 2) + number(17) +
                            number(0xffff, 2) + number(0xffffffff) + number(1, 2)) +
           message('D', number(1, 2) + number(static_cast<std::uint32_t>(value.size())) + value) +
           message('C', zero(tag));
}
// One field of the comment in a statement; empty if it is not there.
inline std::string comment_field(const std::string& statement, const std::string& name) {
    const auto open = statement.find("/*");
    const auto close = statement.find("*/");
    if (open == std::string::npos || close == std::string::npos) {
        return {};
    }
    const std::string comment = "," + statement.substr(open + 2, close - open - 2) + ",";
    std::string packed;
    for (const char c : comment) {
        if (c != ' ') {
            packed += c;
        }
    }
    const auto begin = packed.find("," + name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 2;
    return packed.substr(value, packed.find(',', value) - value);
}

// --- Endpoints

struct Received {
    double at = 0;  // when the last byte of the statement had arrived
    std::string pod;
    std::string id;
    std::string request_class;
    std::string key;
    double told_ms = 0;  // d: how long the sidecar says that it will wait
};

// What a pod does with a statement.
struct Behaviour {
    enum class Kind { row, error, turn_away, reset, nothing };
    Kind kind = Kind::row;
    double after = 0.1;  // seconds
};

class Pod {
  public:
    using Decide = std::function<Behaviour(const Received&)>;
    // `handshake_delay` returns for how many seconds a new connection comes up late; none if null.
    Pod(std::string name, Record& record, Decide decide,
        std::function<double()> handshake_delay = nullptr)
        : name_(std::move(name)),
          record_(record),
          decide_(std::move(decide)),
          handshake_delay_(std::move(handshake_delay)) {
        listening_ = listen_anywhere(port_);
        std::thread([this] { accept_all(); }).detach();
    }
    const std::string& name() const {
        return name_;
    }
    std::uint16_t port() const {
        return port_;
    }
    std::vector<Received> received() {
        const std::lock_guard<std::mutex> guard(mutex_);
        return received_;
    }

  private:
    void accept_all() {
        for (;;) {
            const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                set_no_delay(fd);
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }
    }
    void serve(int fd) {
        Reader reader(fd);
        if (!reader.need(4)) {
            ::close(fd);
            return;
        }
        const std::string size = reader.take(4);
        if (!reader.need(number_from(size, 0) - 4)) {
            ::close(fd);
            return;
        }
        reader.take(number_from(size, 0) - 4);
        if (handshake_delay_) {
            sleep_for(handshake_delay_());
        }
        write_all(fd, message('R', number(0)) + message('S', zero("server_version") + zero("15")) +
                          message('K', number(1) + number(1)) + ready_for_query());
        while (reader.need(5)) {
            const std::string head = reader.take(5);
            const std::size_t length = number_from(head, 1) - 4;
            if (!reader.need(length)) {
                break;
            }
            const std::string body = reader.take(length);
            if (head[0] != 'Q' || !answer(fd, body.substr(0, body.size() - 1))) {
                break;
            }
        }
        ::close(fd);
    }
    // Returns false if the connection is to be closed.
    bool answer(int fd, const std::string& statement) {
        Received got;
        got.at = now();
        got.pod = name_;
        got.id = comment_field(statement, "id");
        got.request_class = comment_field(statement, "c");
        got.key = comment_field(statement, "k");
        got.told_ms = std::atof(comment_field(statement, "d").c_str());
        if (got.id.empty()) {
            const bool empty = statement.find_first_not_of(" ;") == std::string::npos;
            return write_all(fd, (empty ? message('I', "") : row_answer("1", "SELECT 1")) +
                                     ready_for_query());
        }
        {
            const std::lock_guard<std::mutex> guard(mutex_);
            received_.push_back(got);
        }
        const Behaviour behaviour = decide_(got);
        static const char* const kNames[] = {"row", "error XX000", "turned away 53300", "reset",
                                             "no answer"};
        record_.line("pod %s got id=%s c=%s k=%s d=%.0f: %s after %.3f s", name_.c_str(),
                     got.id.c_str(), got.request_class.c_str(), got.key.c_str(), got.told_ms,
                     kNames[static_cast<int>(behaviour.kind)], behaviour.after);
        sleep_for(behaviour.after);
        switch (behaviour.kind) {
            case Behaviour::Kind::row:
                return write_all(fd, row_answer("v:" + got.id, "SELECT 1") + ready_for_query());
            case Behaviour::Kind::error:
                return write_all(fd, error_response("XX000", "failed") + ready_for_query());
            case Behaviour::Kind::turn_away:
                return write_all(fd, error_response("53300", "full") + ready_for_query());
            case Behaviour::Kind::reset: {
                const linger at_once{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
                return false;
            }
            case Behaviour::Kind::nothing:
                return true;
        }
        return false;
    }
    const std::string name_;
    Record& record_;
    const Decide decide_;
    const std::function<double()> handshake_delay_;
    int listening_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::vector<Received> received_;
};

// --- Discovery and the platform: HTTP/1.1

inline std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}
inline const char* stream_head() {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: "
           "chunked\r\n\r\n";
}
inline std::string whole_answer(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves each connection with `serve(fd, request line, body)`, which returns false to close it.
class HttpServer {
  public:
    using Serve = std::function<bool(int fd, const std::string& line, const std::string& body)>;
    explicit HttpServer(Serve serve) : serve_(std::move(serve)) {
        listening_ = listen_anywhere(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    set_no_delay(fd);
                    std::thread([this, fd] { read_calls(fd); }).detach();
                }
            }
        }).detach();
    }
    std::uint16_t port() const {
        return port_;
    }

  private:
    void read_calls(int fd) {
        Reader reader(fd);
        for (;;) {
            const std::string head = reader.until("\r\n\r\n");
            if (head.empty()) {
                break;
            }
            std::size_t length = 0;
            const auto found = head.find("Content-Length: ");
            if (found != std::string::npos) {
                length = static_cast<std::size_t>(std::atol(head.c_str() + found + 16));
            }
            if (!reader.need(length)) {
                break;
            }
            const std::string body = reader.take(length);
            if (!serve_(fd, head.substr(0, head.find("\r\n")), body)) {
                break;
            }
        }
        ::close(fd);
    }
    const Serve serve_;
    int listening_ = -1;
    std::uint16_t port_ = 0;
};

// One entry of the list of endpoints.
inline std::string list_entry(const std::string& id, std::uint16_t port, const std::string& zone,
                              int cell, int build) {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + at(port) + "\",\"locality\":\"" + zone +
           "\",\"flavor\":\"std\",\"cell\":" + std::to_string(cell) +
           ",\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0,\"revision_no\":" +
           std::to_string(build) + "}";
}
inline std::string whole_list(const std::vector<std::string>& entries) {
    std::string text = "{\"revision\":41,\"complete\":true,\"members\":[";
    for (std::size_t i = 0; i < entries.size(); ++i) {
        text += (i > 0 ? "," : "") + entries[i];
    }
    return text + "]}";
}

// A sound discovery whose list does not change: a watch gets the list, then an empty line every 2 s.
class Discovery {
  public:
    explicit Discovery(std::string list)
        : list_(std::move(list)),
          server_([this](int fd, const std::string& line, const std::string&) {
              if (line.find("follow=1") == std::string::npos) {
                  return write_all(fd, whole_answer(200, list_));
              }
              if (!write_all(fd, stream_head() + chunk(list_ + "\n"))) {
                  return false;
              }
              for (;;) {
                  sleep_for(2);
                  if (!write_all(fd, chunk("\n"))) {
                      return false;
                  }
              }
          }) {}
    std::uint16_t port() const {
        return server_.port();
    }

  private:
    const std::string list_;
    HttpServer server_;
};

// A sound platform with build 41 released: the feed gets the state, then a sign of life each second.
class Platform {
  public:
    Platform()
        : server_([](int fd, const std::string& line, const std::string&) {
              if (line.find("/api/feed") == std::string::npos) {
                  return write_all(fd, whole_answer(200, state()));
              }
              if (!write_all(fd, stream_head() + chunk("{\"type\":\"ROLLOUT\",\"object\":" +
                                                       state() + "}\n"))) {
                  return false;
              }
              for (;;) {
                  sleep_for(1);
                  if (!write_all(fd, chunk("{}\n"))) {
                      return false;
                  }
              }
          }) {}
    std::uint16_t port() const {
        return server_.port();
    }
    static std::string state() {
        return "{\"version\":41,\"step\":3,\"status\":\"stable\",\"maxWeight\":1.0,"
               "\"observedAgoMs\":60000}";
    }

  private:
    HttpServer server_;
};

// --- Clients

struct Answer {
    enum class Kind { row, refused, failed, empty, closed, timed_out };
    Kind kind = Kind::closed;
    std::string code;   // of an ErrorResponse
    std::string value;  // of a row
    double at = 0;      // when its last byte had arrived
    const char* text() const {
        static const char* const kNames[] = {"row", "refused", "failed", "empty", "closed",
                                             "timed out"};
        return kNames[static_cast<int>(kind)];
    }
};

// A connection of a client. Not thread-safe.
class Client {
  public:
    ~Client() {
        close();
    }
    // Connects and waits until the sidecar is ready for a query.
    bool open(std::uint16_t port, double wait = 5) {
        fd_ = connect_to(port);
        if (fd_ < 0) {
            return false;
        }
        reader_ = std::make_unique<Reader>(fd_);
        return write_all(fd_, startup_message()) && read(now() + wait).kind == Answer::Kind::empty;
    }
    // Connects and sends the startup message; the first query may follow at once.
    bool connect(std::uint16_t port) {
        fd_ = connect_to(port);
        if (fd_ < 0) {
            return false;
        }
        reader_ = std::make_unique<Reader>(fd_);
        write_all(fd_, startup_message());
        return true;
    }
    // Reads the answer to a query. With `after_startup` the answer to the startup message comes first.
    Answer read_answer(double until, bool after_startup) {
        if (after_startup) {
            const Answer welcome = read(until);
            if (welcome.kind != Answer::Kind::empty) {
                return welcome;
            }
        }
        return read(until);
    }
    bool send(const std::string& statement) {
        return fd_ >= 0 && write_all(fd_, message('Q', zero(statement)));
    }
    // Reads up to the next ReadyForQuery.
    Answer read(double until) {
        Answer answer;
        answer.kind = Answer::Kind::empty;
        bool has_error = false;
        for (;;) {
            if (!reader_->need(5, until)) {
                break;
            }
            const std::string head = reader_->take(5);
            const std::size_t length = number_from(head, 1) - 4;
            if (!reader_->need(length, until)) {
                break;
            }
            const std::string body = reader_->take(length);
            answer.at = now();
            if (head[0] == 'D') {
                answer.kind = Answer::Kind::row;
                answer.value = body.substr(6);
            } else if (head[0] == 'E') {
                has_error = true;
                answer.code = error_code(body);
                const bool refused = answer.code == "53300" || answer.code == "57P03";
                answer.kind = refused ? Answer::Kind::refused : Answer::Kind::failed;
            } else if (head[0] == 'Z') {
                return answer;
            }
        }
        if (!has_error) {
            answer.kind =
                reader_->timed_out() ? Answer::Kind::timed_out : Answer::Kind::closed;
            answer.at = now();
        }
        reader_->clear_time_out();
        return answer;
    }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    int fd() const {
        return fd_;
    }

  private:
    static std::string error_code(const std::string& body) {
        std::size_t from = 0;
        while (from < body.size() && body[from] != '\0') {
            const auto end = body.find('\0', from + 1);
            if (body[from] == 'C') {
                return body.substr(from + 1, end - from - 1);
            }
            from = end + 1;
        }
        return {};
    }
    int fd_ = -1;
    std::unique_ptr<Reader> reader_;
};

inline std::string hex(std::uint64_t value) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}
// An id that no other request has.
inline std::string new_id() {
    static std::atomic<std::uint64_t> last{0};
    static const std::uint64_t base = static_cast<std::uint64_t>(::getpid()) << 40;
    return hex(base + ++last);
}
inline std::string read_statement(const std::string& id, const std::string& request_class,
                                  int time_ms) {
    return "SELECT v FROM records WHERE k = '" + id + "' /* id=" + id + ",c=" + request_class +
           ",t=acme,d=" + std::to_string(time_ms) + " */";
}
inline std::string write_statement(const std::string& id, const std::string& request_class,
                                   int time_ms, const std::string& key = {}) {
    return "INSERT INTO records (k, v) VALUES ('" + (key.empty() ? id : key) +
           "', '\\x9f03') RETURNING v /* id=" + id + ",c=" + request_class +
           ",t=acme,d=" + std::to_string(time_ms) + (key.empty() ? "" : ",k=" + key) + " */";
}

// --- The project's programs

class Program {
  public:
    ~Program() {
        stop();
    }
    // Starts `command` by /bin/sh -c from `root`. Its log goes to `log`.
    void start(const std::string& root, const std::string& command, const std::string& log,
               const std::map<std::string, std::string>& environment = {}) {
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                std::_Exit(2);
            }
            if (std::freopen(log.c_str(), "a", stderr) == nullptr ||
                std::freopen("/dev/null", "w", stdout) == nullptr || ::chdir(root.c_str()) != 0) {
                std::_Exit(2);
            }
            for (const auto& [name, value] : environment) {
                ::setenv(name.c_str(), value.c_str(), 1);
            }
            ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
            std::_Exit(2);
        }
    }
    void signal(int number_of_signal) const {
        if (pid_ > 0) {
            ::kill(pid_, number_of_signal);
        }
    }
    bool runs() {
        if (pid_ <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == 0) {
            return true;
        }
        status_ = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
        pid_ = -1;
        return false;
    }
    // The exit status of a program that has ended; 128 and the signal's number if one ended it.
    int status() const {
        return status_;
    }
    void stop() {
        if (pid_ > 0) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            int status = 0;
            ::waitpid(pid_, &status, 0);
            status_ = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
            pid_ = -1;
        }
    }
    pid_t pid() const {
        return pid_;
    }

  private:
    pid_t pid_ = -1;
    int status_ = -1;
};

// Waits until the sidecar answers an empty query, as the front does.
inline bool wait_until_ready(std::uint16_t port, double seconds) {
    const double until = now() + seconds;
    while (now() < until) {
        Client client;
        if (client.open(port, 1) && client.send("") &&
            client.read(now() + 1).kind == Answer::Kind::empty) {
            return true;
        }
        sleep_for(0.05);
    }
    return false;
}

inline void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
}

// A folder for one run, removed at its end.
class TemporaryFolder {
  public:
    TemporaryFolder() {
        const char* base = std::getenv("TMPDIR");
        std::string name = std::string(base != nullptr ? base : "/tmp") + "/tideline-review-XXXXXX";
        if (::mkdtemp(name.data()) == nullptr) {
            std::perror("mkdtemp");
            std::_Exit(2);
        }
        path_ = name;
    }
    ~TemporaryFolder() {
        const std::string command = "rm -rf '" + path_ + "'";
        (void)!std::system(command.c_str());
    }
    const std::string& path() const {
        return path_;
    }

  private:
    std::string path_;
};

// The configuration of a sidecar as one JSON object.
inline std::string sidecar_config(const std::string& name, std::uint16_t listen,
                                  std::uint16_t discovery, std::uint16_t platform,
                                  const std::string& known, const std::string& settings,
                                  int sockets = 1024) {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + at(listen) + "\",\"discovery\":\"" +
           at(discovery) + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
           "\"memory_mb\":192,\"sockets\":" +
           std::to_string(sockets) + "},\"deployer\":{\"address\":\"" +
           at(platform) + "\",\"news\":" + Platform::state() + "},\"known\":" + known +
           ",\"settings\":" + settings + "}\n";
}

struct RequestClass {
    const char* name;
    const char* effect;  // free, guarded or single_shot
    int promise_ms;
    int deadline_ms;
    double gain;
    const char* group;  // all, zone or cell
    int window_ms;
};
// Settings with figures like those of a small deployment.
// `list_told`: "automatic" where the list is pushed, "subscribe" where it is asked for.
inline std::string sidecar_settings(const std::vector<RequestClass>& classes, int sidecars,
                                    const std::string& zones, int max_attempts,
                                    int drain_grace_ms, const std::string& list_told) {
    std::string text = "{\"areas\":" + zones + ",\"zone\":0,\"kinds\":[\"std\"],\"replicasOfMe\":" +
                       std::to_string(sidecars) + ",\"orgs\":[{\"name\":\"acme\",\"share\":1.0}]," +
                       "\"classes\":[";
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const RequestClass& each = classes[i];
        text += (i > 0 ? ",{\"name\":\"" : "{\"name\":\"") + std::string(each.name) +
                "\",\"effect\":\"" + each.effect + "\",\"promiseUs\":" +
                std::to_string(each.promise_ms * 1000) + ",\"deadlineUs\":" +
                std::to_string(each.deadline_ms * 1000) + ",\"group\":\"" + each.group +
                "\",\"windowUs\":" + std::to_string(each.window_ms * 1000) +
                ",\"gain\":" + std::to_string(each.gain) + "}";
    }
    return text + "],\"ceilings\":{\"connectTimeoutUs\":250000,\"keepaliveUs\":30000000," +
           "\"maxAttempts\":" + std::to_string(max_attempts) +
           ",\"probes\":false,\"retryAfter\":false,\"mayDuplicate\":false}," +
           "\"familyInfo\":{\"allowance\":1.0,\"mostShares\":[0.07,0.28,0.7,1.0],\"per\":\"all\"," +
           "\"shielded\":0,\"gateMode\":\"by_count\",\"soakUs\":2000000,\"voteTtlUs\":6000000," +
           "\"voteWaitUs\":800000,\"windowUs\":3000000,\"onVotes\":1,\"noesNeeded\":1}," +
           "\"registryMode\":\"" + list_told + "\"," +
           "\"safety\":{\"coldFrom\":0.4,\"rampTimeUs\":3000000,\"fallMultiple\":4.0," +
           "\"fallUs\":1500000,\"graceToAnswerUs\":150000,\"drainGraceUs\":" +
           std::to_string(drain_grace_ms * 1000) + "}}";
}

}  // namespace harness
