// Limits on the memory that the requests of clients take up, as shares of the memory that the
// process may use.
#pragma once

#include <cstddef>

namespace tideline::net {

// Maximum sizes in bytes, each summed over all clients.
struct MemoryLimits {
    // Messages that have not arrived completely.
    std::size_t partial_messages = 0;
    // Statements of requests that are open. Each may be held a second time, in the buffer of a
    // connection to an endpoint that takes it slowly.
    std::size_t statements = 0;
    // Answers that their clients have not taken.
    std::size_t unread_answers = 0;
};

// Memory that the process may use if its configuration does not tell, in bytes.
constexpr std::size_t kDefaultProcessMemory = 32 * 1024 * 1024;

// Returns the limits of a process that may use `process_memory` bytes; 0 for the default.
constexpr MemoryLimits memory_limits_of(std::size_t process_memory) {
    // Buffers that grow are held twice for a moment, and freed memory is not returned at once. So
    // all three together stay under half of the memory.
    constexpr std::size_t kMemoryDivisor = 8;
    const std::size_t share =
        (process_memory > 0 ? process_memory : kDefaultProcessMemory) / kMemoryDivisor;
    return {share, share, share};
}

}  // namespace tideline::net
