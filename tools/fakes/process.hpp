// A child process of a test or a tool.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tideline::fakes {

// Starts a program, signals it and collects its exit status. The standard error of the program is
// appended to a log file. Not thread-safe.
class Process {
  public:
    Process() = default;
    ~Process();  // kills the process if it runs, and waits until it has ended
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    // Starts `command`. Must not be called while the process runs.
    void start(const std::vector<std::string>& command, const std::string& log_path);
    // Sends a signal; has no effect once the process has ended.
    void signal(int number) const;
    // Returns the exit status, or 128 plus the number of the signal that ended the process; nothing
    // while it runs.
    std::optional<int> ended();
    // Blocks until the process has ended. Returns its exit status as ended() does, or -1 if none
    // was started.
    int wait();
    pid_t pid() const {
        return pid_;
    }
    double cpu() const;  // s of CPU time that the process has used so far
    bool runs() {
        return pid_ > 0 && !ended();
    }

  private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

}  // namespace tideline::fakes
