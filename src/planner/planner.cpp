#include "planner/planner.hpp"

#include <fmt/format.h>

#include <chrono>
#include <limits>

#include "fleet/wire.hpp"
#include "lease/clock.hpp"
#include "net/must.hpp"
#include "planner/codec.hpp"

namespace tideline::planner {
namespace {

using consensus::LogIndex;
using consensus::Reign;
using consensus::Round;
using fleet::LinkNo;
using fleet::Name;
using lease::AskNo;
using lease::Fence;
using lease::lasting_now;
using lease::LeaseName;
using lease::Member;

constexpr Seconds kKnockEvery = 1;         // s: of a planner without a seat, and of what is swept
constexpr Seconds kFoundAfter = 1.5;       // s: others that belong to a cluster would have answered
constexpr Seconds kAskedFor = 10;          // s: nobody waits for an answer for longer
constexpr Seconds kRouteFor = 60;          // s: a member that waits asks more often
constexpr Seconds kKnockerFor = 5;         // s: a planner that knocks does so every second
constexpr std::size_t kAskedMost = 20000;  // questions at once: members of a large fleet, some asking twice
constexpr std::uint64_t kNear = 64;        // records: a learner that lacks fewer has caught up
constexpr Seconds kHeardOfLate = 2;        // s

double unix_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
void put_member(const Member& member, wire::Member& to) {
    to.set_name(member.name.value), to.set_life(member.life.value);
}
void put_seat(consensus::Peer peer, const Name& name, const std::string& address, wire::Command& to) {
    to.mutable_seat()->set_peer(peer.value), to.mutable_seat()->set_name(name.value);
    to.mutable_seat()->set_address(address);
}

}  // namespace

Planner::Planner(net::Loop& loop, net::Log& log, const Binder& binder, bool founds, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      binder_(binder),
      vault_(binder.folder, binder.name, seed | 1),
      parley_(loop, *this, {binder.links, binder.frame}, net::address_of(binder.address)->host),
      lessor_(*this, binder.leases, leases_),
      cluster_(vault_.cluster()),
      founds_(founds) {
    if (founds && cluster_.value != 0)
        throw std::runtime_error(
            fmt::format("{} belongs to a cluster already: start it without --found", binder.folder));
    if (!parley_.listen(*net::address_of(binder.listen)))
        throw std::runtime_error("can't listen at " + binder.listen + " for planners and members");
    if (!founds) rise(vault_.kept());
}
Planner::~Planner() {
    for (auto* key : {&ring_, &write_, &round_, &knock_}) loop_.due.cancel(*key);
}
void Planner::rise(consensus::Kept kept) {
    consensus::RaftHost& host = *this;
    raft_ = std::make_unique<consensus::Raft>(host, binder_.log, self(), std::move(kept), vault_.disk().value,
                                              lasting_now());
}
void Planner::begin() {
    log_.line("planner: {} at {}, {}", binder_.name.value, binder_.address,
              founds_ ? "about to found a cluster"
              : cluster_.value > 0
                  ? fmt::format("cluster {:016x}, {} records", cluster_.value, raft_->last().value)
                  : "without a cluster: knocks at the others");
    if (founds_) loop_.due.at(net::clock_now() + kFoundAfter, [this] { found(); });
    knock();
    settle();
}
void Planner::found() {
    if (!broken_.empty()) return;
    cluster_ = {vault_.disk().value ^ static_cast<std::uint64_t>(unix_now() * 1e6)};
    enrolment_.admit(binder_.name, self(), binder_.address);
    consensus::Storing first;
    first.promise = consensus::Promise{Reign{1}, {}};
    first.snapshot =
        consensus::Snapshot{LogIndex{1}, Reign{1}, enrolment_.wanted(), state_of(leases_, enrolment_)};
    try {
        vault_.belongs(cluster_);
        vault_.store({first});
    } catch (const std::exception& error) {
        broken_ = error.what();
        return;
    }
    rise({*first.promise, *first.snapshot, {}});
    log_.line("planner: founded cluster {:016x}", cluster_.value);
    settle();
}

// --- To other planners
wire::Word Planner::word() const {
    wire::Word word;
    word.mutable_from()->mutable_self()->set_name(binder_.name.value);
    word.mutable_from()->mutable_self()->set_address(binder_.address);
    return word;
}
void Planner::send(Peer to, wire::Word& word, Reign reign) {
    wire::Planning& said = *word.mutable_planning();
    said.set_cluster(cluster_.value), said.set_from(self().value), said.set_to(to.value);
    said.set_reign(reign.value);
    const auto seat = raft_->council().find(to);
    const auto met = met_.find(to);
    if (met != met_.end())
        parley_.send(met->second.first, met->second.second, word);
    else if (seat != raft_->council().end())
        parley_.send(seat->second.name, seat->second.address, word);
}
void Planner::ask_vote(Peer to, Reign reign, LogIndex last, Reign last_reign, bool rehearsal) {
    wire::Word said = word();
    wire::VoteAsk& ask = *said.mutable_planning()->mutable_vote_ask();
    ask.set_last(last.value), ask.set_last_reign(last_reign.value), ask.set_rehearsal(rehearsal);
    send(to, said, reign);
}
void Planner::answer_vote(Peer to, Reign reign, bool granted, bool rehearsal) {
    wire::Word said = word();
    said.mutable_planning()->mutable_vote_answer()->set_granted(granted);
    said.mutable_planning()->mutable_vote_answer()->set_rehearsal(rehearsal);
    send(to, said, reign);
}
void Planner::tell(Peer to, Reign reign, LogIndex before, Reign before_reign,
                   const std::vector<consensus::Record>& records, LogIndex committed, Round round) {
    wire::Word said = word();
    wire::Tell& tell = *said.mutable_planning()->mutable_tell();
    tell.set_before(before.value), tell.set_before_reign(before_reign.value);
    for (const auto& record : records) put(record, *tell.add_records());
    tell.set_committed(committed.value), tell.set_round(round.value);
    send(to, said, reign);
}
void Planner::tell_snapshot(Peer to, Reign reign, const consensus::Snapshot& snapshot, Round round) {
    wire::Word said = word();
    wire::TellSnapshot& tell = *said.mutable_planning()->mutable_tell_snapshot();
    put(snapshot, *tell.mutable_snapshot());
    tell.set_round(round.value);
    send(to, said, reign);
}
void Planner::answer_tell(Peer to, Reign reign, bool fits, LogIndex reached, Round round) {
    wire::Word said = word();
    wire::TellAnswer& answer = *said.mutable_planning()->mutable_tell_answer();
    answer.set_fits(fits), answer.set_reached(reached.value), answer.set_round(round.value);
    send(to, said, reign);
}
void Planner::knock() {
    const Seconds now = lasting_now();
    if (!raft_ || !raft_->council().contains(self())) {
        wire::Word said = word();
        wire::PlannerKnock& its = *said.mutable_planning()->mutable_knock();
        its.set_name(binder_.name.value), its.set_address(binder_.address), its.set_peer(self().value);
        said.mutable_planning()->set_cluster(cluster_.value);
        for (const auto& [name, address] : binder_.planners)
            if (name != binder_.name) parley_.send(name, address, said);
    }
    std::erase_if(asked_, [&](auto& each) { return now > each.second.at + kAskedFor; });
    std::erase_if(routes_, [&](auto& each) { return now > each.second.at + kRouteFor; });
    std::erase_if(knockers_, [&](auto& each) { return now > each.second.heard + kKnockerFor; });
    knock_ = loop_.due.at(net::clock_now() + kKnockEvery, [this] { knock(); });
}
void Planner::knocked(const Name& name, const std::string& address, Peer peer, Seconds now) {
    if (!raft_ || !raft_->settled() || raft_->council().contains(peer)) return;
    knockers_[name] = {peer, address, now};
    const auto meant = binder_.planners.find(name);
    if (!enrolment_.known(name) && meant != binder_.planners.end() && meant->second == address) {
        if (enrolment_.admitted(peer) || !admitting_.insert(name).second) return;
        log_.line("planner: {} is here for the first time: it is admitted", name.value);
        wire::Command command;
        command.set_what(wire::Command::ADMIT);
        put_seat(peer, name, address, command);
        propose(command);
    } else if (!enrolment_.admitted(peer) &&
               told_.insert(fmt::format("{}{}", name.value, peer.value)).second) {
        log_.alarm(
            "planner: {} is here without a seat, as after the loss of its disk: admit it if it is to "
            "take the place of the former (tideline planners admit)",
            name.value);
    }
}

void Planner::said(LinkNo link, const wire::Word& word) {
    if (!broken_.empty()) return;
    if (word.has_planning()) {
        planning(link, word);
    } else if (word.has_lease_ask()) {
        lease_asked(link, word);
    } else if (word.has_lease_answer()) {
        const auto asked = asked_.find(AskNo{word.lease_answer().no()});
        if (asked == asked_.end()) return;
        wire::LeaseAnswer answer = word.lease_answer();
        const Asked its = asked->second;
        asked_.erase(asked);
        reply(its, answer);
    } else if (word.has_turn()) {
        const auto route = routes_.find({Name{word.turn().member()}, lease::Life{word.turn().life()}});
        if (route != routes_.end() && route->second.planner.value.empty())
            parley_.reply(route->second.link, word);
    }
    settle();
}
void Planner::planning(LinkNo link, const wire::Word& word) {
    const Seconds now = lasting_now();
    const wire::Planning& p = word.planning();
    const Name name{word.from().self().name()};
    const std::string& address = word.from().self().address();
    if (name.value.empty() || name == binder_.name) return;
    if (!parley_.belongs(link, name, address))
        return log_.line("planner: a word as of {} came from elsewhere", name.value);
    if (p.has_knock()) {
        if (cluster_.value == 0) return;
        wire::Word here = this->word();
        here.mutable_planning()->set_here(true);
        here.mutable_planning()->set_cluster(cluster_.value);
        parley_.send(name, address, here);
        if (p.cluster() == 0 || p.cluster() == cluster_.value)
            return knocked(Name{p.knock().name()}, p.knock().address(), Peer{p.knock().peer()}, now);
    }
    if (p.here()) {
        if (founds_ && !raft_ && p.cluster() != 0)
            broken_ = fmt::format("{} belongs to cluster {:016x}: start without --found to join it",
                                  name.value, p.cluster());
        if (cluster_.value == 0 || p.cluster() == cluster_.value) return;
    }
    const Peer from{p.from()}, to{p.to()};
    const Reign reign{p.reign()};
    if (cluster_.value == 0 && raft_ && to == self() && p.cluster() != 0 &&
        (p.has_tell() || p.has_tell_snapshot())) {
        // It was let in under its own disk's number.
        try {
            vault_.belongs({p.cluster()});
        } catch (const std::exception& error) {
            broken_ = error.what();
            return;
        }
        cluster_ = {p.cluster()};
        log_.line("planner: belongs to cluster {:016x} from here on", cluster_.value);
    }
    // Danger: a planner with another cluster's disk would vote, and be told records, of what it is no part
    // of.
    if (p.cluster() != cluster_.value || !raft_) {
        if (raft_ && p.cluster() != 0 && cluster_.value != 0 && told_.insert("cluster " + name.value).second)
            log_.alarm("planner: {} is of another cluster, {:016x}: nothing of it is taken", name.value,
                       p.cluster());
        return;
    }
    met_[from] = {name, address};
    switch (p.what_case()) {
        case wire::Planning::kVoteAsk:
            raft_->vote_asked(now, from, to, reign, {p.vote_ask().last()}, {p.vote_ask().last_reign()},
                              p.vote_ask().rehearsal());
            break;
        case wire::Planning::kVoteAnswer:
            raft_->vote_answered(now, from, to, reign, p.vote_answer().granted(),
                                 p.vote_answer().rehearsal());
            break;
        case wire::Planning::kTell: {
            std::vector<consensus::Record> records;
            for (const auto& record : p.tell().records()) records.push_back(record_from(record));
            raft_->told(now, from, to, reign, {p.tell().before()}, {p.tell().before_reign()}, records,
                        {p.tell().committed()}, {p.tell().round()});
            break;
        }
        case wire::Planning::kTellSnapshot:
            raft_->snapshot_told(now, from, to, reign, snapshot_from(p.tell_snapshot().snapshot()),
                                 {p.tell_snapshot().round()});
            break;
        case wire::Planning::kTellAnswer:
            raft_->tell_answered(now, from, to, reign, p.tell_answer().fits(), {p.tell_answer().reached()},
                                 {p.tell_answer().round()});
            break;
        default:
            break;
    }
}

// --- The disk
void Planner::store(consensus::StoreNo no, const consensus::Storing& what) {
    to_store_.push_back(what);
    store_no_ = no;
    // All that one pass brings goes to the disk at once.
    if (write_ == net::Due::kNone) write_ = loop_.due.soon([this] { write(); });
}
void Planner::write() {
    write_ = net::Due::kNone;
    if (!broken_.empty()) return;
    try {
        vault_.store(std::exchange(to_store_, {}));
    } catch (const std::exception& error) {
        // Danger: after an fsync that failed nobody knows what is on the disk. It promises nothing more.
        broken_ = error.what();
        return;
    }
    raft_->stored(lasting_now(), store_no_);
    settle();
}
void Planner::apply(LogIndex at, const consensus::Record& record) {
    if (record.kind != consensus::RecordKind::command) return;
    const Effect effect = planner::apply(record.body, at, leases_, enrolment_);
    const Seconds now = lasting_now();
    if (effect.take)
        lessor_.applied_take(now, effect.lease, effect.member);
    else if (!effect.lease.value.empty())
        lessor_.applied(now, effect.lease);
    const auto decided = decided_.find(at);
    if (decided == decided_.end()) return;
    const auto asked = asked_.find(decided->second);
    if (asked != asked_.end()) {
        wire::LeaseAnswer answer;
        answer.set_done(effect.done);
        reply(asked->second, answer);
        asked_.erase(asked);
    }
    decided_.erase(decided);
}
void Planner::restore(const consensus::Snapshot& snapshot) {
    if (!planner::restore(snapshot.state, leases_, enrolment_)) broken_ = "a snapshot that can't be read";
}

// --- The lessor
LogIndex Planner::propose(wire::Command& command) {
    command.set_unix_time(unix_now());
    return raft_->propose(lasting_now(), command.SerializeAsString());
}
void Planner::propose_take(const LeaseName& lease, const Member& member) {
    wire::Command command;
    command.set_what(wire::Command::TAKE), command.set_lease(lease.value);
    put_member(member, *command.mutable_member());
    propose(command);
}
void Planner::propose_end(const LeaseName& lease, Fence fence, lease::End how,
                          const std::vector<Member>& absent) {
    wire::Command command;
    command.set_what(wire::Command::END), command.set_lease(lease.value), command.set_fence(fence.value);
    command.set_end(static_cast<std::uint32_t>(how));
    for (const Member& each : absent) put_member(each, *command.add_absent());
    propose(command);
}
void Planner::propose_stop_waiting(const LeaseName& lease, const Member& member) {
    wire::Command command;
    command.set_what(wire::Command::STOP_WAITING), command.set_lease(lease.value);
    put_member(member, *command.mutable_member());
    propose(command);
}
lease::Confirm Planner::confirm() {
    // All that is asked in one pass is confirmed by one round.
    if (round_ == net::Due::kNone)
        round_ = loop_.due.soon([this] {
            round_ = net::Due::kNone;
            if (raft_->leads()) raft_->confirm();
            settle();
        });
    return {raft_->round().value + 1};
}
void Planner::answer(AskNo no, lease::Answer what, Fence fence, Seconds span, std::size_t before) {
    const auto asked = asked_.find(no);
    if (asked == asked_.end()) return;
    wire::LeaseAnswer answer;
    answer.set_what(static_cast<std::uint32_t>(what)), answer.set_fence(fence.value);
    answer.set_span(span), answer.set_before(before);
    reply(asked->second, answer);
    asked_.erase(asked);
}
void Planner::reply(const Asked& asked, wire::LeaseAnswer& answer) {
    wire::Word said = word();
    answer.set_no(asked.no), answer.set_cluster(cluster_.value);
    *said.mutable_lease_answer() = answer;
    parley_.reply(asked.link, said);
}
void Planner::your_turn(const Member& member, const LeaseName& lease, Fence fence) {
    const auto route = routes_.find(member);
    if (route == routes_.end()) return;
    wire::Word said = word();
    wire::Turn& turn = *said.mutable_turn();
    turn.set_lease(lease.value), turn.set_fence(fence.value);
    turn.set_member(member.name.value), turn.set_life(member.life.value);
    parley_.reply(route->second.link, said);
}

// --- Members and operators
void Planner::lease_asked(LinkNo link, const wire::Word& word) {
    const Seconds now = lasting_now();
    const wire::LeaseAsk& ask = word.lease_ask();
    if (asked_.size() >= kAskedMost) return;  // it will ask again
    const AskNo no{++last_ask_};
    asked_[no] = {link, ask.no(), now};
    const Member member{Name{ask.member()}, lease::Life{ask.life()}};
    if (!member.name.value.empty())
        routes_[member] = {link, ask.passed_on() ? Name{word.from().self().name()} : Name{}, now};
    if (raft_ && raft_->settled()) return serve(now, no, ask);
    const auto leader = raft_ ? raft_->council().find(raft_->leader()) : consensus::Council::const_iterator{};
    const bool known = raft_ && raft_->leader() != self() && leader != raft_->council().end();
    if (known && !ask.passed_on()) {
        wire::Word on = this->word();
        *on.mutable_lease_ask() = ask;
        on.mutable_lease_ask()->set_no(no.value);
        on.mutable_lease_ask()->set_passed_on(true);
        return parley_.send(leader->second.name, leader->second.address, on);
    }
    if (ask.what() != wire::LeaseAsk::TABLE) return answer(no, lease::Answer::not_now, {}, 0, 0);
    wire::LeaseAnswer answer;
    table(*answer.mutable_table());
    answer.mutable_table()->set_stale(true);
    reply(asked_[no], answer);
    asked_.erase(no);
}
void Planner::serve(Seconds now, AskNo no, const wire::LeaseAsk& ask) {
    const LeaseName lease{ask.lease()};
    const Member member{Name{ask.member()}, lease::Life{ask.life()}};
    const Fence fence{ask.fence()};
    wire::Command command;
    command.set_lease(ask.lease()), command.set_fence(ask.fence());
    const auto decide = [&] {
        const LogIndex at = propose(command);
        if (at.value == 0) return answer(no, lease::Answer::not_now, {}, 0, 0);
        decided_[at] = no;
    };
    const auto turn_away = [&](const std::string& why) {
        wire::LeaseAnswer refusal;
        refusal.set_what(static_cast<std::uint32_t>(lease::Answer::refused)), refusal.set_why(why);
        reply(asked_[no], refusal);
        asked_.erase(no);
    };
    switch (ask.what()) {
        case wire::LeaseAsk::TAKE:
            return lessor_.asked_take(now, no, lease, member);
        case wire::LeaseAsk::RENEW:
            return lessor_.asked_renew(now, no, lease, member, fence);
        case wire::LeaseAsk::GIVE_BACK:
            return lessor_.asked_give_back(now, no, lease, member, fence);
        case wire::LeaseAsk::STOP_WAITING:
            return lessor_.asked_stop_waiting(now, no, lease, member);
        case wire::LeaseAsk::RAISE:
        case wire::LeaseAsk::CLEAR: {
            const lease::Lease* its = leases_.find(lease);
            if (!its || its->now.fence != fence) return answer(no, lease::Answer::over, fence, 0, 0);
            command.set_what(ask.what() == wire::LeaseAsk::RAISE ? wire::Command::RAISE
                                                                 : wire::Command::CLEAR);
            command.set_key(ask.key()), command.set_text(ask.text());
            return decide();
        }
        case wire::LeaseAsk::TAKE_AWAY: {
            const lease::Lease* its = leases_.find(lease);
            if (!its || its->now.fence == Fence{})
                return turn_away("nobody holds the lease '" + lease.value + "'");
            command.set_what(wire::Command::TAKE_AWAY), command.set_fence(its->now.fence.value);
            return decide();
        }
        case wire::LeaseAsk::ADMIT: {
            const auto knocker = knockers_.find(Name{ask.key()});
            if (knocker == knockers_.end())
                return turn_away("no planner '" + ask.key() +
                                 "' knocks: start it first, with its folder empty");
            command.set_what(wire::Command::ADMIT);
            put_seat(knocker->second.peer, knocker->first, knocker->second.address, command);
            return decide();
        }
        case wire::LeaseAsk::REMOVE: {
            bool there = false;
            for (const auto& [peer, seat] : enrolment_.wanted()) there |= seat.name.value == ask.key();
            if (!there) return turn_away("no planner '" + ask.key() + "' has a seat");
            if (enrolment_.wanted().size() <= 1) return turn_away("it is the only planner");
            command.set_what(wire::Command::REMOVE), command.mutable_seat()->set_name(ask.key());
            return decide();
        }
        default:
            wire::LeaseAnswer told;
            table(*told.mutable_table());
            reply(asked_[no], told);
            asked_.erase(no);
    }
}
void Planner::table(wire::PlannerTable& to) const {
    const Seconds now = lasting_now();
    to.set_asked(binder_.name.value);
    put(leases_, to);
    for (auto& each : *to.mutable_leases()) each.set_left(lessor_.left(now, LeaseName{each.name()}));
    if (!raft_) return;
    to.set_reign(raft_->reign().value), to.set_committed(raft_->committed().value);
    to.set_last(raft_->last().value), to.set_snapshot(raft_->snapshot_at().value);
    for (const auto& [peer, seat] : raft_->council()) {
        if (peer == raft_->leader()) to.set_leader(seat.name.value);
        wire::PlannerRow& row = *to.add_planners();
        row.mutable_seat()->set_name(seat.name.value), row.mutable_seat()->set_address(seat.address);
        row.mutable_seat()->set_peer(peer.value), row.mutable_seat()->set_votes(seat.votes);
        row.set_reached(raft_->reached(peer).value);
        const Seconds ago = raft_->heard_ago(now, peer);
        row.set_heard_ago(ago < 1e9 ? ago : -1);
        row.set_state(peer == raft_->leader()                   ? "leads"
                      : raft_->leads() && !(ago < kHeardOfLate) ? "silent"
                      : seat.votes                              ? "votes"
                                                                : "learns");
    }
    for (const auto& [name, knocker] : knockers_) {
        if (raft_->council().contains(knocker.peer)) continue;
        wire::PlannerRow& row = *to.add_planners();
        row.mutable_seat()->set_name(name.value), row.mutable_seat()->set_address(knocker.address);
        row.mutable_seat()->set_peer(knocker.peer.value);
        row.set_heard_ago(now - knocker.heard), row.set_state("knocks");
    }
}

// --- After anything happened
void Planner::settle() {
    if (!raft_ || settling_ || !broken_.empty()) return;
    settling_ = true;
    const Seconds now = lasting_now();
    if (lessor_.leads() && (!raft_->leads() || raft_->reign() != lessor_reign_)) {
        lessor_.ended();
        for (const auto& [at, no] : std::exchange(decided_, {})) answer(no, lease::Answer::not_now, {}, 0, 0);
        admitting_.clear();
    }
    if (!lessor_.leads() && raft_->settled()) {
        lessor_reign_ = raft_->reign();
        lessor_.began(now);
    }
    if (lessor_.leads()) {
        lessor_.confirmed({raft_->confirmed().value});
        lessor_.tick(now);
        const auto caught_up = [&](Peer peer) {
            return raft_->reached(peer).value + kNear >= raft_->committed().value &&
                   raft_->heard_ago(now, peer) < kHeardOfLate;
        };
        if (const auto next = enrolment_.step(raft_->council(), caught_up))
            if (raft_->change(now, *next).value > 0)
                log_.line("planner: the council is to have {} seats", next->size());
    }
    if (raft_->applied().value > raft_->snapshot_at().value + binder_.keep)
        raft_->compact(raft_->applied(), state_of(leases_, enrolment_));
    settling_ = false;
    ring();
}
void Planner::ring() {
    loop_.due.cancel(ring_);
    const Seconds at = std::min(raft_->due(), lessor_.due());
    if (at == std::numeric_limits<double>::infinity()) return;
    ring_ = loop_.due.at(net::clock_now() + std::max(0.0, at - lasting_now()), [this] {
        ring_ = net::Due::kNone;
        raft_->tick(lasting_now());
        settle();
    });
}

}  // namespace tideline::planner
