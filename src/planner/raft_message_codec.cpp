#include "planner/raft_message_codec.hpp"

namespace tideline::planner {
namespace {

using raft::AppendEntries;
using raft::AppendEntriesReply;
using raft::InstallSnapshot;
using raft::RequestVote;
using raft::RequestVoteReply;
using raft::ServerId;
using raft::Term;

RequestVote decode_request_vote(Term term, const wire::VoteAsk& from) {
    return {term, {from.last()}, {from.last_reign()}, from.rehearsal()};
}

RequestVoteReply decode_request_vote_reply(Term term, const wire::VoteAnswer& from) {
    return {term, from.granted(), from.rehearsal()};
}

AppendEntries decode_append_entries(Term term, const wire::Tell& from) {
    AppendEntries message;
    message.term = term;
    message.prev_log_index = {from.before()};
    message.prev_log_term = {from.before_reign()};
    for (const auto& entry : from.records()) {
        message.entries.push_back(decode_entry(entry));
    }
    message.leader_commit = {from.committed()};
    message.round = {from.round()};
    return message;
}

InstallSnapshot decode_install_snapshot(Term term, const wire::TellSnapshot& from) {
    return {term, decode_snapshot(from.snapshot()), {from.round()}};
}

AppendEntriesReply decode_append_entries_reply(Term term, const wire::TellAnswer& from) {
    return {term, from.fits(), {from.reached()}, {from.round()}};
}

}  // namespace

wire::Planning RaftMessageCodec::header_for(ServerId to, Term term) const {
    wire::Planning header;
    header.set_from(self().value);
    header.set_to(to.value);
    header.set_reign(term.value);
    return header;
}

void RaftMessageCodec::send(ServerId to, const RequestVote& message) {
    wire::Planning encoded = header_for(to, message.term);
    wire::VoteAsk& body = *encoded.mutable_vote_ask();
    body.set_last(message.last_log_index.value);
    body.set_last_reign(message.last_log_term.value);
    body.set_rehearsal(message.pre_vote);
    send_planning(to, encoded);
}

void RaftMessageCodec::send(ServerId to, const RequestVoteReply& message) {
    wire::Planning encoded = header_for(to, message.term);
    wire::VoteAnswer& body = *encoded.mutable_vote_answer();
    body.set_granted(message.vote_granted);
    body.set_rehearsal(message.pre_vote);
    send_planning(to, encoded);
}

void RaftMessageCodec::send(ServerId to, const AppendEntries& message) {
    wire::Planning encoded = header_for(to, message.term);
    wire::Tell& body = *encoded.mutable_tell();
    body.set_before(message.prev_log_index.value);
    body.set_before_reign(message.prev_log_term.value);
    for (const LogEntry& entry : message.entries) {
        encode(entry, *body.add_records());
    }
    body.set_committed(message.leader_commit.value);
    body.set_round(message.round.value);
    send_planning(to, encoded);
}

void RaftMessageCodec::send(ServerId to, const InstallSnapshot& message) {
    wire::Planning encoded = header_for(to, message.term);
    wire::TellSnapshot& body = *encoded.mutable_tell_snapshot();
    encode(message.snapshot, *body.mutable_snapshot());
    body.set_round(message.round.value);
    send_planning(to, encoded);
}

void RaftMessageCodec::send(ServerId to, const AppendEntriesReply& message) {
    wire::Planning encoded = header_for(to, message.term);
    wire::TellAnswer& body = *encoded.mutable_tell_answer();
    body.set_fits(message.success);
    body.set_reached(message.match_index.value);
    body.set_round(message.round.value);
    send_planning(to, encoded);
}

void handle_raft_message(PlannerCore& planner_core, Seconds now, const wire::Planning& message) {
    const ServerId from{message.from()};
    const ServerId to{message.to()};
    const Term term{message.reign()};
    planner_core.with_raft(now, [&](raft::Raft& raft) {
        switch (message.what_case()) {
            case wire::Planning::kVoteAsk:
                return raft.handle(now, from, to, decode_request_vote(term, message.vote_ask()));
            case wire::Planning::kVoteAnswer:
                return raft.handle(now, from, to,
                                   decode_request_vote_reply(term, message.vote_answer()));
            case wire::Planning::kTell:
                return raft.handle(now, from, to, decode_append_entries(term, message.tell()));
            case wire::Planning::kTellSnapshot:
                return raft.handle(now, from, to,
                                   decode_install_snapshot(term, message.tell_snapshot()));
            case wire::Planning::kTellAnswer:
                return raft.handle(now, from, to,
                                   decode_append_entries_reply(term, message.tell_answer()));
            default:
                return;
        }
    });
}

}  // namespace tideline::planner
