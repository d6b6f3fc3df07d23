// Leader election, with pre-vote.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "raft/quorum.hpp"
#include "raft/raft.hpp"

namespace tideline::raft {

void Raft::reset_election_timer(Seconds now) {
    const double share =
        static_cast<double>(random_()) / (1.0 + static_cast<double>(std::ranlux24_base::max()));
    election_deadline_ = now + settings_.election_timeout_min +
                         share * (settings_.election_timeout_max - settings_.election_timeout_min);
}

void Raft::on_election_timeout(Seconds now) {
    if (is_leader() || !is_voter()) {
        return;
    }
    leader_ = {};
    reset_election_timer(now);
    if (!settings_.pre_vote) {
        return become_candidate(now);
    }
    // A partitioned server would otherwise increment its term repeatedly, and depose the leader as
    // soon as the partition heals. So it first asks whether it would win the election.
    role_ = Role::pre_candidate;
    votes_granted_ = {self_};
    if (majority_size(voters()) == 1) {
        return become_candidate(now);
    }
    request_votes({vote_state_.term.value + 1}, true);
}

void Raft::request_votes(Term term, bool pre_vote) {
    const RequestVote message{term, log_.last_index(), log_.last_term(), pre_vote};
    for (const auto& [server, voter] : voters()) {
        if (voter.votes && server != self_) {
            transport_->send(server, message);
        }
    }
}

void Raft::set_vote_state(const VoteState& vote_state) {
    assert(vote_state.term >= vote_state_.term);  // the current term never decreases
    vote_state_ = vote_state;
    persistence_.set_vote_state(vote_state);
}

void Raft::become_candidate(Seconds now) {
    role_ = Role::candidate;
    leader_ = {};
    votes_granted_.clear();
    set_vote_state({{vote_state_.term.value + 1}, self_});
    awaits_own_vote_ = true;
    reset_election_timer(now);
    persist_changes();
}

// Requests the votes of the other voters once the candidate's own vote is durable.
void Raft::request_votes_if_persisted(Seconds now) {
    if (!awaits_own_vote_ || role_ != Role::candidate ||
        persistence_.last_persisted() < persistence_.last_requested()) {
        return;
    }
    awaits_own_vote_ = false;
    votes_granted_.insert(self_);
    if (majority_size(voters()) == 1) {
        return become_leader(now);
    }
    request_votes(vote_state_.term, false);
}

void Raft::become_follower(Seconds now, Term term, ServerId leader) {
    if (term > vote_state_.term) {
        set_vote_state({term, {}});
    }
    if (is_leader()) {
        step_down(StepDownReason::other_leader_or_higher_term);
    }
    role_ = Role::follower;
    awaits_own_vote_ = false;
    leader_ = leader;
    progress_.clear();
    reset_election_timer(now);
}

void Raft::step_down(StepDownReason reason) {
    const char* text = reason == StepDownReason::no_quorum             ? "no_quorum"
                       : reason == StepDownReason::removed_from_voters ? "removed_from_voters"
                                                                       : "other_leader";
    transport_->log_event(
        fmt::format("stepped down: term={} reason={}", vote_state_.term.value, text));
    role_ = Role::follower;
    leader_ = {};
    progress_.clear();
}

bool Raft::hears_majority(Seconds now) {
    std::size_t heard = 0;
    for (const auto& [server, voter] : voters()) {
        if (!voter.votes) {
            continue;
        }
        if (server == self_) {
            ++heard;
            continue;
        }
        const Seconds last_reply_at = progress_[server].last_reply_at;
        if (now - std::max(last_reply_at, leader_since_) < settings_.election_timeout_max) {
            ++heard;
        }
    }
    return heard >= majority_size(voters());
}

bool Raft::hears_leader(Seconds now) const {
    return settings_.pre_vote &&
           (is_leader() || now < last_leader_contact_ + settings_.election_timeout_min);
}

bool Raft::is_up_to_date(const RequestVote& message) const {
    return std::pair(message.last_log_term, message.last_log_index) >=
           std::pair(log_.last_term(), log_.last_index());
}

void Raft::answer_pre_vote(Seconds now, ServerId from, const RequestVote& message) {
    // A server of a lower term would ask for pre-votes forever without success, even if it is the
    // only one whose log is up to date. So it is told of the higher term instead.
    if (!hears_leader(now) && message.term <= vote_state_.term) {
        return transport_->send(from, RequestVoteReply{vote_state_.term, false, false});
    }
    const bool granted = !hears_leader(now) && is_up_to_date(message);
    transport_->send(from, RequestVoteReply{message.term, granted, true});
}

void Raft::handle(Seconds now, ServerId from, ServerId to, const RequestVote& message) {
    if (to != self_) {
        return;
    }
    if (message.pre_vote) {
        return answer_pre_vote(now, from, message);
    }
    if (message.term > vote_state_.term) {
        // A server that was partitioned, or was removed from the voter set, must not depose a
        // leader that this server still hears from.
        if (hears_leader(now)) {
            return;
        }
        become_follower(now, message.term, {});
    }
    const bool may_vote = vote_state_.voted_for == ServerId{} || vote_state_.voted_for == from;
    const bool granted =
        message.term == vote_state_.term && is_up_to_date(message) && !is_leader() && may_vote;
    if (granted) {
        if (vote_state_.voted_for != from) {
            set_vote_state({message.term, from});
        }
        reset_election_timer(now);
    }
    persist_changes();
    if (!granted) {
        transport_->send(from, RequestVoteReply{vote_state_.term, false, false});
        return send_pending_replies();
    }
    // Invariant: a vote is durable before it is sent. Otherwise this server could vote for another
    // candidate of the same term after a crash.
    reply_when_persisted(
        {persistence_.last_requested(), from, RequestVoteReply{message.term, true, false}});
    check_invariants();
}

void Raft::handle(Seconds now, ServerId from, ServerId to, const RequestVoteReply& message) {
    if (to != self_ || !votes_in(voters(), from)) {
        return;
    }
    if (message.pre_vote) {
        const bool current = message.term.value == vote_state_.term.value + 1;
        if (role_ != Role::pre_candidate || !current || !message.vote_granted) {
            return;
        }
        votes_granted_.insert(from);
        if (votes_granted_.size() >= majority_size(voters())) {
            become_candidate(now);
        }
        return;
    }
    if (message.term > vote_state_.term) {
        become_follower(now, message.term, {});
        return persist_changes();
    }
    if (role_ != Role::candidate || message.term != vote_state_.term || !message.vote_granted) {
        return;
    }
    votes_granted_.insert(from);
    if (votes_granted_.size() >= majority_size(voters())) {
        become_leader(now);
    }
}

void Raft::become_leader(Seconds now) {
    transport_->log_event(fmt::format("became leader: term={}", vote_state_.term.value));
    role_ = Role::leader;
    leader_ = self_;
    leader_since_ = now;
    round_ = {};
    progress_.clear();
    for (const auto& [server, voter] : voters()) {
        if (server != self_) {
            progress_[server].next_index = {log_.last_index().value + 1};
        }
    }
    // Entries of earlier terms are committed only together with an entry of this term.
    append({vote_state_.term, EntryKind::no_op, {}, {}});
    term_start_index_ = log_.last_index();
    heartbeat_due_ = now + settings_.heartbeat_interval;
    broadcast_append_entries();
    persist_changes();
    advance_commit_index();
    check_invariants();
}

}  // namespace tideline::raft
