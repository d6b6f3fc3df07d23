// A library that the fault tests preload into a process (LD_PRELOAD) to inject faults of its disk
// and clock. A fault is active while the file named by TIDELINE_BADDISK contains its name:
//   fsync  every fsync and fdatasync fails with EIO
//   full   every pwrite fails with ENOSPC
//   slow   every fsync and fdatasync takes kSlowSyncTime longer
//   back   CLOCK_REALTIME is an hour behind
// At exit the process writes the number of its fsync and fdatasync calls to the file named by
// TIDELINE_FSYNCS.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/types.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

namespace {

constexpr useconds_t kSlowSyncTime = 400'000;  // us

long fsync_count = 0;

// Whether the file names this fault now.
bool is_fault_active(const char* fault) {
    static const char* const path = std::getenv("TIDELINE_BADDISK");
    if (!path) {
        return false;
    }
    const int fd = ::open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    char text[16] = {};
    const auto size = ::read(fd, text, sizeof text - 1);
    ::close(fd);
    return size > 0 && std::strncmp(text, fault, std::strlen(fault)) == 0;
}
// Counts a call of fsync or fdatasync and injects its faults; returns false if the call has to
// fail.
bool may_sync() {
    ++fsync_count;
    if (is_fault_active("fsync")) {
        errno = EIO;
        return false;
    }
    if (is_fault_active("slow")) {
        ::usleep(kSlowSyncTime);
    }
    return true;
}
// Finds the libc function that this library replaces.
template <class Function>
Function find_replaced_function(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

__attribute__((destructor)) void write_fsync_count() {
    const char* const path = std::getenv("TIDELINE_FSYNCS");
    if (!path) {
        return;
    }
    if (std::FILE* file = std::fopen(path, "w")) {
        std::fprintf(file, "%ld", fsync_count);
        std::fclose(file);
    }
}

}  // namespace

extern "C" {

int fsync(int fd) {
    static const auto real = find_replaced_function<int (*)(int)>("fsync");
    return may_sync() ? real(fd) : -1;
}
int fdatasync(int fd) {
    static const auto real = find_replaced_function<int (*)(int)>("fdatasync");
    return may_sync() ? real(fd) : -1;
}
ssize_t pwrite64(int fd, const void* data, size_t size, off64_t at) {
    static const auto real =
        find_replaced_function<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
    if (is_fault_active("full")) {
        return errno = ENOSPC, -1;
    }
    return real(fd, data, size, at);
}
ssize_t pwrite(int fd, const void* data, size_t size, off_t at) {
    return pwrite64(fd, data, size, at);
}
int clock_gettime(clockid_t clock, timespec* at) {
    static const auto real = find_replaced_function<int (*)(clockid_t, timespec*)>("clock_gettime");
    const int result = real(clock, at);
    if (clock == CLOCK_REALTIME && is_fault_active("back")) {
        at->tv_sec -= 3600;
    }
    return result;
}
}
