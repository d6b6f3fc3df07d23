// Measures the memory and disk space of stored records, and how long it takes to store and read
// them, in this process alone.
#include <fmt/format.h>
#include <poll.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "fault_tests/replication_scenarios.hpp"
#include "replication/message_codec.hpp"
#include "replication/replica.hpp"
#include "replication/replica_store.hpp"

namespace tideline::fault_tests {
namespace {

using namespace replication;

constexpr int kWriteBatchSize = 64;

struct NullSender : MessageSender {
    void post(const Name&, const wire::Holding&) override {}
    Seconds time() const override {
        return 0;
    }
    void store(WriteNumber, ShardId, const Record&) override {}
    void store_removal(WriteNumber, ShardId, const std::vector<Key>&) override {}
    void store_shard_removal(WriteNumber, ShardId) override {}
    void store_table_version(WriteNumber, TableVersion) override {}
    void request_table(TableVersion) override {}
    void log_alarm(const std::string&) override {}
    void on_cleared(RequestId, AttemptNumber) override {}
    void on_rejected(RequestId, Seconds) override {}
    void on_deferred(RequestId) override {}
    void on_answer_found(RequestId, const std::string&) override {}
    void on_returned_to_policy(RequestId, const std::vector<AttemptRecord>&) override {}
    void on_effect_unknown(RequestId) override {}
    void on_record_read(const Key&, const Record*) override {}
    void on_alarm(const std::string&) override {}
};

// Returns the resident memory of this process.
double resident_bytes() {
    std::ifstream file("/proc/self/status");
    for (std::string field; file >> field;) {
        if (field == "VmRSS:" && file >> field) {
            return std::stod(field) * 1024;
        }
    }
    return 0.0;
}

Seconds now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

Record record_of(int i) {
    Record record;
    record.key = {
        {static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15ULL, static_cast<std::uint64_t>(i)}};
    record.version = {TableVersion{1}, static_cast<std::uint64_t>(i)};
    record.answered = true;
    record.answer = std::string(90, 'a');  // about the size of the answer to a charge
    AttemptRecord attempt;
    attempt.owner = {Name{"n1"}, Incarnation{1}, static_cast<std::uint64_t>(i)};
    attempt.outcome = AttemptOutcome::answered;
    record.attempts.push_back(attempt);
    return record;
}

void wait_until_stored(ReplicaStore& store, WriteNumber number) {
    while (store.take_progress().up_to < number) {
        pollfd ready{store.ready(), POLLIN, 0};
        ::poll(&ready, 1, 1000);
    }
}

// Stores records in a folder and reads them back, with measurements of both.
class StoredRecordsCost {
  public:
    StoredRecordsCost(std::string folder, int count) : folder_(std::move(folder)), count_(count) {}
    void measure_writes() const {
        ReplicaStore store(folder_, Name{"n1"}, 7, settings_);
        const double memory = resident_bytes();
        const Seconds from = now();
        for (int i = 0; i < count_; ++i) {
            const WriteNumber number{static_cast<std::uint64_t>(i) + 1};
            store.put(number, ShardId{static_cast<std::uint32_t>(i) % 256}, record_of(i), 0);
            if (i % kWriteBatchSize == kWriteBatchSize - 1) {
                wait_until_stored(store, number);
            }
        }
        wait_until_stored(store, WriteNumber{static_cast<std::uint64_t>(count_)});
        print_row("stored, 64 at once (memory of the store alone)", now() - from, store.commits(),
                  resident_bytes() - memory);
    }
    void measure_reads() const {
        const double memory = resident_bytes();
        const Seconds from = now();
        ReplicaStore store(folder_, Name{"n1"}, 7, settings_);
        StoredState stored_state = store.take_stored_state();
        NullSender null_sender;
        ReplicaHost& host = null_sender;
        const Replica replica(host, {}, Name{"n1"}, store.disk(), std::move(stored_state), 0);
        print_row("read back at start, kept in memory", now() - from, store.commits(),
                  resident_bytes() - memory);
    }

  private:
    void print_row(const char* way, Seconds elapsed, std::uint64_t commits, double memory) const {
        fmt::print("| {} | {} | {:.2f} | {:.0f} | {} | {:.0f} | {:.0f} |\n", way, count_, elapsed,
                   count_ / elapsed, commits, memory / count_,
                   static_cast<double>(std::filesystem::file_size(folder_ + "/held.db")) / count_);
        std::fflush(stdout);
    }
    const std::string folder_;
    const int count_;
    const ReplicaStoreSettings settings_;
};

}  // namespace

void measure_stored_records(int count) {
    char folder[] = "/tmp/tideline-held-XXXXXX";
    if (!::mkdtemp(folder)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    fmt::print(
        "| operation | records | s | records per second | fsyncs (transactions) "
        "| bytes of memory per record | bytes on disk per record |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    const StoredRecordsCost cost(folder, count);
    cost.measure_writes();
    cost.measure_reads();
    std::filesystem::remove_all(folder);
}

}  // namespace tideline::fault_tests
