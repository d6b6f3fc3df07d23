#include "audit/audit_log.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <cmath>

namespace tideline::audit {
namespace {

// Of BLAKE2b; no two texts with the same digest of this length are known.
constexpr std::size_t kDigestBytes = 32;

std::int64_t to_micros(Seconds span) {
    return std::llround(span * 1e6);
}

}  // namespace

Counts& Counts::operator+=(const Counts& more) {
    trial += more.trial;
    earlier += more.earlier;
    on_votes += more.on_votes;
    back_votes += more.back_votes;
    marks += more.marks;
    drains += more.drains;
    return *this;
}

// The sealed text contains every field, strings with their length and numbers in digits, so that no
// two epochs have the same text.
Digest seal_of(const cluster::Name& name, const cluster::Incarnation& incarnation,
               const Digest& before, const Epoch& epoch) {
    const ActingState& a = epoch.acting;
    const Counts& c = epoch.counts;
    const std::string text = fmt::format(
        "epoch 1|{}:{}|{}|{}:{}|{}|{}|{}|{}|{}|{}|{}|{}|{}|{}|{}:{}|{}:{}|{}|{}|{}|{}|{}|{}",
        name.value.size(), name.value, incarnation.value, before.size(), before, epoch.number,
        to_micros(epoch.from), to_micros(epoch.to), a.version.list.value, a.version.release.value,
        a.build.value, a.stage.value, static_cast<int>(a.phase), to_micros(a.cap),
        static_cast<int>(a.trial_participation), a.config_digest.size(), a.config_digest,
        a.program.size(), a.program, c.trial, c.earlier, c.on_votes, c.back_votes, c.marks,
        c.drains);
    Digest digest(kDigestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()), digest.size(),
                       reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                       0);
    return digest;
}

std::string find_record_fault(const Record& record) {
    Digest before = record.fold ? record.fold->digest : record.root;
    std::uint64_t next = record.fold ? record.fold->last + 1 : 1;
    Seconds ended = record.fold ? record.fold->to : -1;
    for (const Epoch& epoch : record.epochs) {
        if (epoch.number != next) {
            return fmt::format("epoch {} stands where {} belongs", epoch.number, next);
        }
        if (epoch.from < ended || epoch.to < epoch.from) {
            return fmt::format("epoch {} does not follow the one before in time", epoch.number);
        }
        if (seal_of(record.name, record.incarnation, before, epoch) != epoch.digest) {
            return fmt::format("epoch {} is not what was sealed", epoch.number);
        }
        before = epoch.digest;
        ended = epoch.to;
        ++next;
    }
    if (record.open.number != next) {
        return fmt::format("the open epoch is {}, not {}", record.open.number, next);
    }
    return {};
}

AuditLog::AuditLog(AuditLogHost& host, const cluster::Name& name,
                   const cluster::Incarnation& incarnation, const cluster::Disk& disk, Digest root,
                   ActingState acting, std::size_t max_epochs, Seconds now)
    : host_(&host), max_epochs_(max_epochs), head_(root) {
    record_.name = name;
    record_.incarnation = incarnation;
    record_.disk = disk;
    record_.root = std::move(root);
    record_.open.number = 1;
    record_.open.from = now;
    record_.open.acting = std::move(acting);
}

void AuditLog::set_acting_state(Seconds now, const ActingState& acting) {
    if (acting == record_.open.acting) {
        return;
    }
    seal_epoch(now);
    record_.open.acting = acting;
}
void AuditLog::add_vote(Vote vote) {
    record_.open.counts.on_votes += vote == Vote::on ? 1 : 0;
    record_.open.counts.back_votes += vote == Vote::back ? 1 : 0;
}

void AuditLog::seal_epoch(Seconds now) {
    Epoch& open = record_.open;
    open.to = now;
    open.digest = head_ = seal_of(record_.name, record_.incarnation, head_, open);
    host_->on_epoch_sealed(open);
    record_.epochs.push_back(open);
    open.number += 1;
    open.from = now;
    open.counts = {};
    open.digest.clear();
    if (record_.epochs.size() <= max_epochs_) {
        return;
    }
    // An endpoint list that changes often would otherwise exhaust the memory. The older half of the
    // epochs is folded into sums, which keep the counts of events but not the states.
    if (!record_.fold) {
        record_.fold = FoldedEpochs{0, 0, record_.epochs.front().from, 0, {}, {}};
    }
    FoldedEpochs& fold = *record_.fold;
    const auto end = record_.epochs.begin() + static_cast<std::ptrdiff_t>((max_epochs_ + 1) / 2);
    for (auto it = record_.epochs.begin(); it != end; ++it) {
        ++fold.epochs;
        fold.last = it->number;
        fold.to = it->to;
        fold.counts += it->counts;
        fold.digest = it->digest;
    }
    record_.epochs.erase(record_.epochs.begin(), end);
}

}  // namespace tideline::audit
