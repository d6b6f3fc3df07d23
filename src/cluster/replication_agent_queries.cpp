// ReplicationAgent: queries of operators, and replication of the audit epochs.

#include <fmt/format.h>

#include <iterator>
#include <sstream>
#include <utility>

#include "cluster/message_codec.hpp"
#include "cluster/replication_agent.hpp"
#include "cluster/replication_agent_keys.hpp"
#include "lease/clock.hpp"

namespace tideline::cluster {
namespace {

// Members that have not reported by then are shown as silent.
constexpr Seconds kQueryTimeout = 1.0;
constexpr std::size_t kMaxQueries = 16;     // concurrent queries
constexpr std::size_t kMaxEpochsRead = 64;  // newest epochs that are read for each incarnation
// Incarnations of a member that its list contains; older ones are dropped.
constexpr std::size_t kMaxIncarnations = 16;

std::string text_of(const std::map<std::uint64_t, std::uint64_t, std::greater<>>& seals) {
    std::string text;
    for (const auto& [incarnation, last] : seals) {
        text += fmt::format("{} {}\n", incarnation, last);
    }
    return text;
}
std::map<std::uint64_t, std::uint64_t, std::greater<>> seals_from(const std::string& text) {
    std::map<std::uint64_t, std::uint64_t, std::greater<>> seals;
    std::istringstream in(text);
    for (std::uint64_t incarnation = 0, last = 0; in >> incarnation >> last;) {
        seals[incarnation] = last;
    }
    return seals;
}

}  // namespace

using lease::boottime_now;
using replication::Key;

void ReplicationAgent::replicate_epoch(const audit::Epoch& epoch) {
    audit::Record one;
    one.name = self_;
    one.incarnation = incarnation_;
    one.disk = replica_store_.disk();
    one.epochs = {epoch};
    wire::Record message;
    cluster::put(one, message);
    effect_log_.store_bytes(boottime_now(), key_of_epoch(self_, incarnation_.value, epoch.number),
                            message.SerializeAsString());
    sealed_epochs_[incarnation_.value] = epoch.number;
    if (knows_sealed_epochs_) {
        replicate_epoch_index();
    }
    schedule_tick();
}

void ReplicationAgent::replicate_epoch_index() {
    while (sealed_epochs_.size() > kMaxIncarnations) {
        sealed_epochs_.erase(std::prev(sealed_epochs_.end()));
    }
    effect_log_.store_bytes(boottime_now(), key_of_seals(self_), text_of(sealed_epochs_));
}

void ReplicationAgent::answer_query(LinkId link, const wire::AskHoldings& ask) {
    OperatorQuery query;
    query.link = link;
    query.deadline = boottime_now() + kQueryTimeout;
    wire::Holdings& answer = query.answer;
    answer.set_asked(self_.value);
    answer.set_steward(owner_.repair_coordinator().value);
    answer.set_table(replication::bytes_of(replica_->table()));
    if (queries_.size() >= kMaxQueries) {
        answer.set_why("too many queries at once: ask again");
        return owner_.reply_replication_status(link, answer);
    }
    if (!ask.give_up().empty()) {
        const Name repair_coordinator = owner_.repair_coordinator();
        if (repair_coordinator.value.empty()) {
            answer.set_why("no member coordinates repairs now: ask again");
        } else if (const auto present = owner_.present_members();
                   Name{ask.give_up()} == self_ ||
                   std::find(present.begin(), present.end(), Name{ask.give_up()}) !=
                       present.end()) {
            answer.set_why(fmt::format(
                "{} is present: only a member that is off, and stays off, can be removed",
                ask.give_up()));
        } else {
            wire::Holding message;
            message.mutable_give_up()->set_name(ask.give_up());
            post(repair_coordinator, message);
        }
        return owner_.reply_replication_status(link, answer);
    }
    const std::uint64_t number = ++last_query_id_;
    OperatorQuery& stored = queries_.emplace(number, std::move(query)).first->second;
    if (!ask.fingerprint().empty()) {
        start_read(stored, key_of({"effect", ask.operation(), ask.customer(), ask.fingerprint()}),
                   "record");
    } else if (!ask.epochs_of().empty()) {
        start_read(stored, key_of_seals(Name{ask.epochs_of()}), "seals " + ask.epochs_of());
    } else {
        wire::Holding message;
        message.mutable_ask_report()->set_no(number);
        for (const Name& each : owner_.present_members()) {
            stored.awaited.insert(each);
            post(each, message);
        }
        wire::HeldRow& row = *stored.answer.add_rows();
        row.set_name(self_.value);
        *row.mutable_report() = make_report();
    }
    finish_queries();
    loop_.timers.at(net::clock_now() + kQueryTimeout, [this] { finish_queries(); });
    schedule_tick();
}

void ReplicationAgent::start_read(OperatorQuery& query, const Key& key, const std::string& what) {
    query.reads[key] = what;
    effect_log_.read(boottime_now(), key);
}

void ReplicationAgent::on_record_read(const Key& key, const replication::Record* record) {
    if (key == key_of_seals(self_) && !std::exchange(knows_sealed_epochs_, true)) {
        for (const auto& [incarnation, last] : seals_from(record ? record->answer : "")) {
            sealed_epochs_.try_emplace(incarnation, last);
        }
        if (sealed_epochs_.contains(incarnation_.value)) {
            loop_.timers.soon([this] {
                replicate_epoch_index();
                schedule_tick();
            });
        }
    }
    for (auto& [no, query] : queries_) {
        const auto read = query.reads.find(key);
        if (read == query.reads.end()) {
            continue;
        }
        const std::string what = read->second;
        query.reads.erase(read);
        if (what == "record") {
            if (record) {
                replication::put(boottime_now(), *record, *query.answer.mutable_record());
            }
        } else if (what.starts_with("seals ")) {
            const Name member{what.substr(6)};
            for (const auto& [incarnation, last] : seals_from(record ? record->answer : "")) {
                for (std::uint64_t i = last; i > 0 && i + kMaxEpochsRead > last; --i) {
                    const Key epoch = key_of_epoch(member, incarnation, i);
                    query.reads[epoch] = "epoch";
                    // Deferred, because the effect log is still executing a call.
                    loop_.timers.soon([this, epoch] {
                        effect_log_.read(boottime_now(), epoch);
                        schedule_tick();
                    });
                }
            }
        } else if (record && record->answered) {
            query.answer.add_epochs(record->answer);
        }
    }
    loop_.timers.soon([this] { finish_queries(); });
}

void ReplicationAgent::finish_queries() {
    const Seconds now = boottime_now();
    for (auto it = queries_.begin(); it != queries_.end();) {
        OperatorQuery& query = it->second;
        if (now < query.deadline && (!query.awaited.empty() || !query.reads.empty())) {
            ++it;
            continue;
        }
        for (const Name& each : query.awaited) {
            query.answer.add_rows()->set_name(each.value);
        }
        if (!query.reads.empty()) {
            query.answer.set_why(
                fmt::format("{} records were not read in time", query.reads.size()));
        }
        owner_.reply_replication_status(query.link, query.answer);
        it = queries_.erase(it);
    }
}

}  // namespace tideline::cluster
