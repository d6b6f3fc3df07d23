#include "cli/replication.hpp"

#include <fmt/format.h>

#include <optional>
#include <stdexcept>

#include "cli/query.hpp"
#include "cli/replication_json.hpp"
#include "cli/replication_status.hpp"
#include "cli/replication_text.hpp"
#include "cluster/member_query.hpp"
#include "replication/message_codec.hpp"

namespace tideline::cli {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitUnknown = 2;

void set_requested_key(const std::string& key, wire::AskHoldings& request) {
    const auto first_comma = key.find(',');
    const auto second_comma = key.find(',', first_comma + 1);
    if (first_comma == std::string::npos || second_comma == std::string::npos ||
        second_comma + 1 == key.size()) {
        throw std::runtime_error("--key " + key +
                                 ": malformed; expected OPERATION,CUSTOMER,FINGERPRINT");
    }
    request.set_operation(key.substr(0, first_comma));
    request.set_customer(key.substr(first_comma + 1, second_comma - first_comma - 1));
    request.set_fingerprint(key.substr(second_comma + 1));
}

wire::AskHoldings request_of(const ReplicationCommand& command) {
    wire::AskHoldings request;
    if (!command.key.empty()) {
        set_requested_key(command.key, request);
    }
    request.set_give_up(command.removed_member);
    request.set_epochs_of(command.epochs_of);
    return request;
}

// Sends the request to the member. If no answer arrives in time, prints the reason and returns
// nothing.
std::optional<wire::Holdings> ask_member(const ReplicationCommand& command,
                                         const net::Address& address) {
    net::EventLoop loop;
    cluster::ReplicationQuery query(loop, address, request_of(command));
    await_answer(loop, query, command.timeout);
    if (!query.answered) {
        fmt::print(stderr, "tideline: {}: {}\n", command.address, query.error);
        return std::nullopt;
    }
    return query.answer;
}

// Prints why the member could not answer in full, if it gave a reason. Returns whether it did.
bool print_failure_reason(const wire::Holdings& answer) {
    if (answer.why().empty()) {
        return false;
    }
    fmt::print(stderr, "tideline: {}\n", answer.why());
    return true;
}

template <class Content>
void print_answer(const ReplicationCommand& command, const Content& content) {
    if (!command.json) {
        return print(content);
    }
    const auto replace = nlohmann::json::error_handler_t::replace;
    fmt::print("{}\n", json_of(content).dump(1, ' ', false, replace));
}

int show_record(const ReplicationCommand& command, const wire::Holdings& answer) {
    if (print_failure_reason(answer)) {
        return kExitUnknown;
    }
    std::optional<replication::Record> record;
    if (answer.has_record()) {
        record = replication::record_from(0, answer.record());
    }
    print_answer(command, record);
    return kExitDone;
}

int show_epochs(const ReplicationCommand& command, const wire::Holdings& answer) {
    const std::vector<audit::Record> epochs = replicated_epochs(answer);
    print_answer(command, epochs);
    if (epochs.empty()) {
        fmt::print(stderr, "tideline: --epochs {}: no other member stores epochs of this member\n",
                   command.epochs_of);
    }
    const bool incomplete = print_failure_reason(answer);
    return epochs.empty() || incomplete ? kExitUnknown : kExitDone;
}

int show_status(const ReplicationCommand& command, const wire::Holdings& answer) {
    const ReplicationStatus status = replication_status(answer);
    print_answer(command, status);
    if (status.table.shards.empty()) {
        fmt::print(stderr, "tideline: no shard has replicas yet\n");
    }
    return exit_status(status);
}

}  // namespace

int show_replication(const ReplicationCommand& command) {
    const auto answer = ask_member(command, parse_query_address(command.address));
    if (!answer) {
        return kExitUnknown;
    }
    if (!command.key.empty()) {
        return show_record(command, *answer);
    }
    if (!command.epochs_of.empty()) {
        return show_epochs(command, *answer);
    }
    if (print_failure_reason(*answer)) {
        return kExitUnknown;
    }
    if (command.removed_member.empty()) {
        return show_status(command, *answer);
    }
    fmt::print("{} was notified that the replicas of {} count as lost\n", answer->steward(),
               command.removed_member);
    return kExitDone;
}

}  // namespace tideline::cli
