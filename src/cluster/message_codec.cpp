#include "cluster/message_codec.hpp"

#include "cluster/frame.hpp"

namespace tideline::cluster {
namespace {

// Numbers of the version parts in messages.
constexpr std::uint32_t kListNumber = 0;
constexpr std::uint32_t kReleaseNumber = 1;

void put(const audit::Counts& counts, wire::Counts& to) {
    to.set_trial(counts.trial);
    to.set_earlier(counts.earlier);
    to.set_on_votes(counts.on_votes);
    to.set_back_votes(counts.back_votes);
    to.set_marks(counts.marks);
    to.set_drains(counts.drains);
}
audit::Counts counts_from(const wire::Counts& from) {
    return {from.trial(),      from.earlier(), from.on_votes(),
            from.back_votes(), from.marks(),   from.drains()};
}
void put(const audit::Epoch& epoch, wire::Epoch& to) {
    const audit::ActingState& acting = epoch.acting;
    to.set_number(epoch.number);
    to.set_from(epoch.from);
    to.set_to(epoch.to);
    to.set_list(acting.version.list.value);
    to.set_news(acting.version.release.value);
    to.set_build(acting.build.value);
    to.set_stage(acting.stage.value);
    to.set_phase(static_cast<std::uint32_t>(acting.phase));
    to.set_cap(acting.cap);
    to.set_stand(static_cast<std::uint32_t>(acting.trial_participation));
    to.set_told(acting.config_digest);
    to.set_program(acting.program);
    to.set_digest(epoch.digest);
    put(epoch.counts, *to.mutable_counts());
}
// A number outside its enum is read as the last enumerator.
template <class Kind>
Kind clamp_enum(std::uint32_t value, Kind last) {
    return static_cast<Kind>(std::min(value, static_cast<std::uint32_t>(last)));
}
audit::Epoch epoch_from(const wire::Epoch& from) {
    audit::Epoch epoch;
    epoch.number = from.number();
    epoch.from = from.from();
    epoch.to = from.to();
    epoch.digest = from.digest();
    audit::ActingState& acting = epoch.acting;
    acting.version = {ListRevision{from.list()}, ReleaseRank{from.news()}};
    acting.build = Build{from.build()};
    acting.stage = Stage{from.stage()};
    acting.phase = clamp_enum(from.phase(), Phase::withdrawn);
    acting.cap = from.cap();
    acting.trial_participation = clamp_enum(from.stand(), TrialParticipation::no_trial);
    acting.config_digest = from.told();
    acting.program = from.program();
    epoch.counts = counts_from(from.counts());
    return epoch;
}

}  // namespace

void put(const Entry& entry, wire::Entry& to) {
    to.set_name(entry.name.value);
    to.set_life(entry.incarnation.value);
    to.set_turn(entry.refutation_count.value);
    to.set_standing(static_cast<std::uint32_t>(entry.state));
    to.set_by(entry.suspected_by.value);
    to.set_address(entry.address);
    to.set_place(entry.place.value);
    to.set_disk(entry.disk.value);
    to.set_list(entry.version.list.value);
    to.set_news(entry.version.release.value);
    to.set_ruling(entry.ruling_number);
    to.set_out(entry.excluded);
}
Entry entry_from(const wire::Entry& from) {
    Entry entry;
    entry.name = Name{from.name()};
    entry.incarnation = Incarnation{from.life()};
    entry.refutation_count = RefutationCount{from.turn()};
    entry.state = clamp_enum(from.standing(), MemberState::left);
    entry.suspected_by = Name{from.by()};
    entry.address = from.address();
    entry.place = Place{from.place()};
    entry.disk = Disk{from.disk()};
    entry.version = {ListRevision{from.list()}, ReleaseRank{from.news()}};
    entry.ruling_number = from.ruling();
    entry.excluded = from.out();
    return entry;
}
void put(const Gossip& gossip, wire::Gossip& to) {
    for (const Entry& entry : gossip) {
        put(entry, *to.add_entries());
    }
}
Gossip gossip_from(const wire::Gossip& from) {
    Gossip gossip;
    for (const wire::Entry& entry : from.entries()) {
        if (!entry.name().empty()) {
            gossip.push_back(entry_from(entry));
        }
    }
    return gossip;
}

void put(const audit::Record& record, wire::Record& to) {
    to.set_name(record.name.value);
    to.set_life(record.incarnation.value);
    to.set_disk(record.disk.value);
    to.set_root(record.root);
    if (record.fold) {
        const audit::FoldedEpochs& fold = *record.fold;
        wire::Fold& into = *to.mutable_fold();
        into.set_epochs(fold.epochs);
        into.set_last(fold.last);
        into.set_from(fold.from);
        into.set_to(fold.to);
        into.set_digest(fold.digest);
        put(fold.counts, *into.mutable_counts());
    }
    for (const audit::Epoch& epoch : record.epochs) {
        put(epoch, *to.add_epochs());
    }
    put(record.open, *to.mutable_open());
}
audit::Record record_from(const wire::Record& from) {
    audit::Record record;
    record.name = Name{from.name()};
    record.incarnation = Incarnation{from.life()};
    record.disk = Disk{from.disk()};
    record.root = from.root();
    if (from.has_fold()) {
        const wire::Fold& fold = from.fold();
        record.fold = audit::FoldedEpochs{
            fold.epochs(), fold.last(), fold.from(), fold.to(), counts_from(fold.counts()),
            fold.digest()};
    }
    for (const wire::Epoch& epoch : from.epochs()) {
        record.epochs.push_back(epoch_from(epoch));
    }
    record.open = epoch_from(from.open());
    return record;
}

void put(const audit::ContentVersion& version, wire::Mark& to) {
    to.set_rank(version.rank);
    to.set_digest(version.digest);
}
audit::ContentVersion content_version_from(const wire::Mark& from) {
    return {from.rank(), from.digest()};
}

std::uint32_t wire_number_of(audit::VersionPart part) {
    return part == audit::VersionPart::list ? kListNumber : kReleaseNumber;
}
audit::VersionPart version_part_from(std::uint32_t number) {
    return number == kListNumber ? audit::VersionPart::list : audit::VersionPart::release;
}
bool is_version_part(std::uint32_t number) {
    return number == kListNumber || number == kReleaseNumber;
}

std::string encode_message(const wire::Word& message) {
    return encode_frame(message.SerializeAsString());
}
bool decode_message(std::string_view body, wire::Word& message) {
    return message.ParseFromArray(body.data(), static_cast<int>(body.size())) &&
           message.what_case() != wire::Word::WHAT_NOT_SET;
}

}  // namespace tideline::cluster
