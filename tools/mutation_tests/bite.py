#!/usr/bin/env python3
"""Mutation tests of the protocol cores: Raft, leases and replication.

Each entry of GUARDS is a condition in the sources that a safety property depends on. The program
removes one guard at a time in a copy of the sources, and runs the model checker, the simulation and
then the unit tests until one of them fails. For each guard it prints what failed first. The exit
status is 1 if a guard was removed and nothing failed, if a mutated copy does not build, or if an
entry does not fit the sources.

    tools/mutation_tests/bite.py [--only WORD] [--skip N] [--seeds N] [--verbose]
    tools/mutation_tests/bite.py --check
"""
import argparse
import dataclasses
import pathlib
import shutil
import sys
import tempfile

from detection import BuildError, Detection, detect

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPIED_PATHS = ("src", "tools", "tests", "CMakeLists.txt")
REPLICATION_FOLDER = "src/replication/"
DEFAULT_SEEDS = 1500


@dataclasses.dataclass(frozen=True)
class Guard:
    """A guard, and the text that replaces it in a mutated copy."""

    name: str
    file: str
    text: str  # the guard in the file, which contains this text exactly once
    replacement: str


GUARDS = [
    # Leases and the planners' Raft log.
    Guard("the lease manager waits longer than the holder, by the clock drift",
          "src/lease/lease_manager.hpp",
          "return span * (1 + drift) / (1 - drift);",
          "return span;"),
    Guard("the target rejects an older fencing token",
          "src/lease/fencing_check.hpp",
          "if (token < newest || token == FencingToken{}) {",
          "if (token == FencingToken{}) {"),
    Guard("a vote is persisted before it is sent",
          "src/raft/raft_election.cpp",
          "reply_when_persisted(\n"
          "        {persistence_.last_requested(), from, "
          "RequestVoteReply{message.term, true, false}});",
          "transport_->send(from, RequestVoteReply{message.term, true, false});\n"
          "    send_pending_replies();"),
    Guard("a lease client counts the span from when it sent the request",
          "src/lease/lease_client.cpp",
          "const Seconds until = wanted->requested_at + span;",
          "const Seconds until = now + span;"),
    Guard("a planner with a wiped disk has another server id",
          "src/raft/raft.cpp",
          "name.value.size(), disk.value) | 1",
          "name.value.size(), 0 * disk.value) | 1"),
    Guard("a follower acknowledges log entries only once they are persisted",
          "src/raft/raft_replication.cpp",
          "reply_when_persisted({persistence_.last_requested(), to,\n"
          "                          "
          "AppendEntriesReply{vote_state_.term, true, match_index, round}});",
          "transport_->send(to, AppendEntriesReply{vote_state_.term, true, match_index, round});\n"
          "    send_pending_replies();"),
    Guard("a leader counts its own log entry only once it is persisted",
          "src/raft/raft.cpp",
          "if (server == self_) {\n"
          "        return persistence_.persisted_index();",
          "if (server == self_) {\n"
          "        return log_.last_index();"),
    Guard("a log entry of an earlier term is committed only by one of the current term",
          "src/raft/raft_replication.cpp",
          " || log_.term_at(replicated) != vote_state_.term) {",
          ") {"),
    Guard("a vote is granted only to a server with a log at least as up to date",
          "src/raft/raft_election.cpp",
          "message.term == vote_state_.term && is_up_to_date(message) && !is_leader() && may_vote;",
          "message.term == vote_state_.term && !is_leader() && may_vote;"),
    Guard("a server votes for one candidate in a term",
          "src/raft/raft_election.cpp",
          "const bool may_vote = "
          "vote_state_.voted_for == ServerId{} || vote_state_.voted_for == from;",
          "const bool may_vote = true;"),
    Guard("a new leader serves requests only once all entries of earlier terms are applied",
          "src/raft/raft.hpp",
          "return is_leader() && last_applied_ >= term_start_index_;",
          "return is_leader();"),
    Guard("a new leader restarts the timers of all leases",
          "src/lease/lease_manager.cpp",
          "timers_[name] = {lease.now.token, now + settings_.wait(), 0, true, false};",
          "timers_[name] = {lease.now.token, now, 0, true, false};"),
    Guard("a renewal is granted only once a majority has confirmed the leader",
          "src/lease/lease_manager.cpp",
          "pending_renewals_.emplace(host_->start_round(), PendingRenewal{id, name, token, now});",
          "timer->second.until = now + settings_.wait();\n"
          "    timer->second.answered = true;\n"
          "    host_->reply(id, Answer::granted, token, settings_.span, 0);"),
    Guard("a lease is not renewed while its end is proposed in the log",
          "src/lease/lease_manager.cpp",
          "timer->second.token != waits.token || timer->second.ending ||",
          "timer->second.token != waits.token ||"),
    Guard("an expiry ends only the holding with its own fencing token",
          "src/lease/lease_state_machine.cpp",
          "if (it == leases_.end() || it->second.now.token != token || token == FencingToken{}) {\n"
          "        return;\n"
          "    }\n"
          "    end(",
          "if (it == leases_.end() || it->second.now.token == FencingToken{}) {\n"
          "        return;\n"
          "    }\n"
          "    end("),
    Guard("a revoked lease is not renewed, and not granted before its span is over",
          "src/lease/lease_state_machine.cpp",
          "it->second.withdrawn = true;",
          "it->second.now = {};"),
    Guard("a released fencing token is never used again",
          "src/lease/lease_client.cpp",
          "token <= given->second) {",
          "token < FencingToken{}) {"),
    Guard("each incarnation numbers its lease requests from a different start",
          "src/lease/lease_client.cpp",
          "last_request_{incarnation.value << kIncarnationShift}",
          "last_request_{0 * incarnation.value << kIncarnationShift}"),
    Guard("a holder stops acting before it releases the lease",
          "src/lease/lease_client.cpp",
          "if (token > FencingToken{}) {\n"
          "        mark_lost(lease, it->second, LossReason::released);\n"
          "    }\n"
          "    wanted_leases_.erase(it);",
          "if (token > FencingToken{}) {\n"
          "        release_token(lease, token);\n"
          "        return;\n"
          "    }\n"
          "    wanted_leases_.erase(it);"),
    Guard("a leader changes the voter set one change at a time, once its own term has begun",
          "src/raft/raft_membership.cpp",
          "if (!is_ready_leader() || log_.changes_voters_after(commit_index_)) {",
          "if (!is_leader()) {"),
    Guard("a delayed request to raise an alarm under an old fencing token has no effect",
          "src/lease/lease_state_machine.cpp",
          "if (!lease || lease->now.token != token || token == FencingToken{}) {\n"
          "        return ChangeResult::stale_token;\n"
          "    }\n"
          "    auto& all",
          "if (!lease) {\n"
          "        return ChangeResult::stale_token;\n"
          "    }\n"
          "    auto& all"),
    # Replication of the effect log between members.
    Guard("a claim is granted only once all replicas have acknowledged it",
          "src/replication/replica_operations.cpp",
          "if (!found || !PendingOperations::is_ready(*found, local_writes_)) {",
          "if (!found || !local_writes_.is_stored(found->local_write)) {"),
    Guard("a claim is granted only once it is on the primary's own disk",
          "src/replication/replica_operations.cpp",
          "if (!found || !PendingOperations::is_ready(*found, local_writes_)) {",
          "if (!found || !found->awaited.empty()) {"),
    Guard("a backup acknowledges a write only once it is on its disk",
          "src/replication/local_writes.cpp",
          "while (!pending_answers_.empty() && pending_answers_.begin()->first <= stored_write_) {",
          "while (!pending_answers_.empty()) {"),
    Guard("a backup rejects the messages of a deposed primary",
          "src/replication/replica_backup.cpp",
          "if (since < replica_set.since_table || it == shards_.end() || replica_set.replicas.empty() ||\n"
          "        from != replica_set.primary()) {",
          "if (it == shards_.end() || replica_set.replicas.empty()) {"),
    Guard("a replica applies no older shard table after a restart",
          "src/replication/replica_table.cpp",
          "if (table.version < newest_table_ || table.version <= table_.version) {",
          "if (table.version <= table_.version) {"),
    Guard("a primary grants nothing with fewer replicas than the minimum",
          "src/replication/replica_primary.cpp",
          "condition.too_few_replicas = shard.replica_set.replicas.size() < table_.min_replicas;",
          "condition.too_few_replicas = false;"),
    Guard("a write never has the number of one that was lost in a crash",
          "src/replication/replica.cpp",
          "last_step_(found.start_count << kStepBitsPerStart)",
          "last_step_(0)"),
    Guard("an acknowledgement to a former incarnation matches no message of this one",
          "src/replication/replica.cpp",
          "sent_messages_(first_message_number(disk, found.start_count))",
          "sent_messages_(0 * first_message_number(disk, found.start_count))"),
    Guard("a member with a wiped disk does not count as a replica",
          "src/replication/replica_table.cpp",
          "const bool own_disk = disk != table.disks.end() && disk->second == disk_;",
          "const bool own_disk = disk != table.disks.end();"),
    Guard("a claim is granted only if the claimant knows the current version of the record",
          "src/replication/claimant_request.cpp",
          "if (others && request.known_version != record.version) {",
          "if (others_in_flight && request.known_version != record.version) {"),
    Guard("a claim that arrives after its attempt was settled is not granted",
          "src/replication/claimant_request.cpp",
          "if (own->outcome != AttemptOutcome::in_flight) {\n"
          "            return reply_with(Reply::try_again, std::move(record));\n"
          "        }",
          ""),
    Guard("a record that no primary acknowledged is overwritten in the catch-up",
          "src/replication/replica_catch_up.cpp",
          "write(now, shard_id, shard, std::move(record), std::nullopt, Reply::stored);",
          "(void)record;"),
    Guard("writes wait for the acknowledgement of a replica that was reported as caught up",
          "src/replication/replica_status.cpp",
          "report.caught_up.emplace_back(shard_id, name);\n"
          "                peer.required_for_writes = true;",
          "report.caught_up.emplace_back(shard_id, name);"),
    Guard("an unreachable replica is kept while too few others are available",
          "src/replication/replica_set_planner.cpp",
          "enough && std::any_of(available.begin(), available.end(), confirmed) ? available : kept;",
          "available.empty() ? kept : available;"),
    Guard("the disk report of a former incarnation is discarded",
          "src/replication/member_health.cpp",
          "if (incarnation > member.incarnation) {\n"
          "        member.report.reset();\n"
          "    }",
          ""),
    Guard("an attempt is not sent if its claim is granted after the timeout",
          "src/replication/effect_log_replies.cpp",
          "if (now >= open.claimed_at + settings_.claim_timeout) {\n"
          "                return fail_claim(now, open);\n"
          "            }",
          ""),
    Guard("a request that is not idempotent is not sent again after an earlier attempt",
          "src/replication/effect_log_replies.cpp",
          "if (!earlier.empty() && !open.guarded.idempotent) {",
          "if (false) {"),
    Guard("the reply to a pre-vote of a lower term carries the higher term",
          "src/raft/raft_election.cpp",
          "if (!hears_leader(now) && message.term <= vote_state_.term) {\n"
          "        return transport_->send(from, "
          "RequestVoteReply{vote_state_.term, false, false});",
          "if (message.term <= vote_state_.term) {\n"
          "        return transport_->send(from, RequestVoteReply{message.term, false, true});"),
]


def mismatch_reason(guard: Guard) -> str | None:
    """Returns why the entry does not fit the sources; None if it fits."""
    path = ROOT / guard.file
    if not path.is_file():
        return f"{guard.file} does not exist"
    count = path.read_text().count(guard.text)
    if count != 1:
        return f"its text occurs {count} times in {guard.file} instead of once"
    return None


def check_entries(guards: list[Guard]) -> int:
    """Prints the entries that do not fit the sources; returns their number."""
    mismatch_count = 0
    for guard in guards:
        reason = mismatch_reason(guard)
        if reason is not None:
            print(f"{guard.name}: {reason}", flush=True)
            mismatch_count += 1
    return mismatch_count


def test_guard(
        guard: Guard, tree: pathlib.Path, output: pathlib.Path, seeds: int) -> Detection | None:
    """Returns what fails without the guard; None if nothing does."""
    path = tree / guard.file
    original = path.read_text()
    path.write_text(original.replace(guard.text, guard.replacement))
    try:
        return detect(tree, output, seeds, guard.file.startswith(REPLICATION_FOLDER))
    finally:
        path.write_text(original)


def print_detection(guard: Guard, detection: Detection, verbose: bool) -> None:
    """Prints what failed first; with `verbose`, the whole output that was kept of it."""
    summary = f"{guard.name}: detected by {detection.detected_by}"
    if verbose:
        print(summary, *detection.lines, sep="\n  ", flush=True)
        return
    first = detection.lines[0] if detection.lines else "no output"
    if detection.detected_by == "model checker":
        first += f" {len(detection.lines) - 1} events"
    print(f"{summary}: {first}", flush=True)


def test_guards(guards: list[Guard], seeds: int, verbose: bool) -> int:
    """Removes each guard in turn; returns how many were not detected or did not build."""
    undetected = 0
    with tempfile.TemporaryDirectory(prefix="tideline-mutation-") as folder:
        tree, output = pathlib.Path(folder, "tree"), pathlib.Path(folder, "build")
        tree.mkdir()
        for name in COPIED_PATHS:
            source = ROOT / name
            (shutil.copytree if source.is_dir() else shutil.copy2)(source, tree / name)
        for guard in guards:
            try:
                detection = test_guard(guard, tree, output, seeds)
            except BuildError as error:
                print(f"{guard.name}: DOES NOT BUILD\n{error}", flush=True)
                undetected += 1
                continue
            if detection is None:
                print(f"{guard.name}: NOT DETECTED", flush=True)
                undetected += 1
            else:
                print_detection(guard, detection, verbose)
    return undetected


def parse_arguments() -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--check", action="store_true",
                        help="only check that the text of each entry occurs exactly once")
    parser.add_argument("--only", default="", metavar="WORD",
                        help="test only guards whose name or file contains WORD")
    parser.add_argument("--skip", type=int, default=0, metavar="N", help="skip the first N guards")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, metavar="N",
                        help="number of seeds of each simulation (default: %(default)s)")
    parser.add_argument("--verbose", action="store_true",
                        help="print the whole schedule that led to each failure")
    return parser.parse_args()


def main() -> int:
    """Returns the exit status."""
    arguments = parse_arguments()
    if arguments.check:
        mismatch_count = check_entries(GUARDS)
        print(f"{len(GUARDS)} guards, {mismatch_count} do not fit the sources")
        return 1 if mismatch_count else 0
    selected = [guard for guard in GUARDS[arguments.skip:]
                if arguments.only in guard.name or arguments.only in guard.file]
    mismatch_count = check_entries(selected)
    fitting = [guard for guard in selected if mismatch_reason(guard) is None]
    undetected = test_guards(fitting, arguments.seeds, arguments.verbose)
    print(f"{len(selected)} guards, {undetected} not detected, "
          f"{mismatch_count} do not fit the sources")
    return 1 if undetected or mismatch_count else 0


if __name__ == "__main__":
    sys.exit(main())
