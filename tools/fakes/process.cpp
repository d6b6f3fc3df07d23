#include "fakes/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace tideline::fakes {
namespace {

int exit_status_of(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}  // namespace

Process::~Process() {
    if (!runs()) {
        return;
    }
    ::kill(pid_, SIGKILL);
    wait();
}

void Process::start(const std::vector<std::string>& command, const std::string& log_path) {
    status_.reset();
    std::vector<char*> arguments;
    for (const std::string& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0) {
        return;
    }
    // The child ends with its parent: a test that crashes leaves no process behind. The signal is
    // sent only for a parent that ends after this call, so the parent is compared as well.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(127);
    }
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (log >= 0) {
        ::dup2(log, STDERR_FILENO);
    }
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}
void Process::signal(int number) const {
    if (pid_ > 0 && !status_) {
        ::kill(pid_, number);
    }
}
std::optional<int> Process::ended() {
    int status = 0;
    if (pid_ > 0 && !status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = exit_status_of(status);
    }
    return status_;
}
int Process::wait() {
    int status = 0;
    if (pid_ > 0 && !status_ && ::waitpid(pid_, &status, 0) == pid_) {
        status_ = exit_status_of(status);
    }
    return status_.value_or(-1);
}

double Process::cpu() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string field;
    double ticks = 0;
    for (int i = 1; i <= 15 && file >> field; ++i) {
        if (i >= 14) {
            ticks += std::stod(field);
        }
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace tideline::fakes
