#!/usr/bin/env python3
"""Plays short days of the operators' standing acceptance and prints a table: seed by day.

It only runs the bench and reads the reports that it writes with --json. What it calls a failure is worded in
the operators' page; a single day has no gate line of its own, so the gate's terms that a report names are held
against the page here, and only those. Exit status: 0 if every day holds, 1 if one fails, crashes or gives no
verdict, 2 for unusable arguments.
"""
import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys

# Bounds as the operators' page words them, each with its unit.
SHARE_TARDY = 0.1       # share: of the restarted sidecars, not ready within 10 s
SHARE_SHUNNED = 0.1     # share: of the sidecars that turn away all they get for 4 s (calm and roll only)
SHARE_TOLD = 0.2        # share: of the further attempts that tell their pod 0.15 s more than is left
SHARE_GONE = 0.25       # share: of what waited for its first attempt when its client closed, sent on later
GONE_LEAST = 5          # invocations: fewer of those count for nothing
CLASS_LEAST = 0.3       # share: a class of which the late-seeing policy serves less is not held to it
TENANT_PART = 1 / 3     # of that policy's share, for each tenant
THIRD_PART = 0.2        # of the policy's share, for each third of the day


def seeds_of(text):
    """Seeds from '1-10' or '3,7,9'."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def faults_of(report):
    """What of the operators' page a report does not keep, in words; empty if it keeps all."""
    row, seen = report["row"], report["real"]["seen"]
    faults = [f"rule {name}: {times}" for name, times in row["rules"].items() if times]
    if report["fault"]:
        faults.append(f"fault: {report['fault']}")
    if row["served"] < row["served_least"]:
        faults.append(f"served {row['served']:.3f} under {row['served_least']:.3f}")
    for name, served, least in row["by_class"]:
        if least >= CLASS_LEAST / 2 and served < least:
            faults.append(f"operation {name} {served:.3f} under {least:.3f}")
    for name, served, least in row["by_tenant"]:
        if served < least:
            faults.append(f"tenant {name} {served:.3f} under {least:.3f}")
    restarted, tardy = seen["tardy"]
    if tardy > SHARE_TARDY * restarted:
        faults.append(f"{tardy} of {restarted} restarted not ready in time")
    further, told = seen["time_told"]
    if told > SHARE_TOLD * further:
        faults.append(f"{told} of {further} further attempts tell too long a time")
    waiting, sent_on = seen["gone_waiting"]
    if sent_on >= GONE_LEAST and sent_on > SHARE_GONE * waiting:
        faults.append(f"{sent_on} of {waiting} sent on after their client closed")
    if row["name"].split("+")[0] in ("calm", "roll") and row["shunned"] > SHARE_SHUNNED:
        faults.append(f"{row['shunned']:.2f} of the sidecars serve nobody for 4 s")
    return faults


def play(wish, day, seed):
    """One day; the bench's report, or what it said instead of one."""
    kept = wish.out / f"{day}-{seed}.json"
    kept.unlink(missing_ok=True)
    told = [wish.bench, wish.site, "--rough", f"{day}+mass", "--nodes", str(wish.nodes), "--seed", str(seed),
            "--no-build", "--json", str(kept), "--why", wish.why]
    if wish.logs:
        told += ["--logs", str(wish.out / f"{day}-{seed}")]
    run = subprocess.run(told, capture_output=True, text=True, stdin=subprocess.DEVNULL)
    (wish.out / f"{day}-{seed}.txt").write_text(run.stdout + run.stderr)
    try:
        report = json.loads(kept.read_text())
        faults = faults_of(report)
    except (OSError, ValueError, KeyError, TypeError) as error:
        words = (run.stderr.strip() or run.stdout.strip() or "nothing printed").splitlines()[-1]
        return None, [f"no verdict (status {run.returncode}, {type(error).__name__}): {words[:80]}"]
    if run.returncode != 0 and not faults:
        faults.append(f"status {run.returncode}")
    return report, faults


def line_of(day, seed, report, faults):
    if report is None:
        return f"| {day} | {seed} | - | - | - | - | - | - | FAILED: {'; '.join(faults)} |"
    row, seen = report["row"], report["real"]["seen"]
    return (f"| {day} | {seed} | {row['score']:.2f} | {row['G']:.3f} | {row['G_floor']:.3f} | "
            f"{row['G_top']:.3f} | {row['served']:.3f} ({row['served_least']:.3f}) | "
            f"{seen['after_close']}, {seen['gone_waiting'][1]}/{seen['gone_waiting'][0]}, "
            f"{seen['time_told'][1]}/{seen['time_told'][0]} | "
            f"{'FAILED: ' + '; '.join(faults) if faults else 'holds'} |")


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--bench", required=True, help="the bench's lbreal for these days")
    words.add_argument("--site", required=True, help="the site file")
    words.add_argument("--days", default="roll,split,join", help="kinds of day (default: %(default)s)")
    words.add_argument("--seeds", default="1-10", type=seeds_of, help="1-10 or 3,7 (default: 1-10)")
    words.add_argument("--nodes", default=30, type=int, help="sidecars a day (default: %(default)s)")
    words.add_argument("--jobs", default=4, type=int, help="days at once (default: %(default)s)")
    words.add_argument("--out", default="build/acceptance", type=pathlib.Path, help="folder for reports")
    words.add_argument("--logs", action="store_true", help="keep the sidecars' logs there too")
    words.add_argument("--why", default="Short days of the standing acceptance, as a table seed by day")
    wish = words.parse_args()
    for path in (wish.bench, wish.site):
        if not pathlib.Path(path).is_file():
            words.error(f"no such file: {path}")
    wish.out.mkdir(parents=True, exist_ok=True)
    todo = [(day, seed) for day in wish.days.split(",") for seed in wish.seeds]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(max_workers=wish.jobs) as lanes:
        played = {lanes.submit(play, wish, *each): each for each in todo}
        for done in concurrent.futures.as_completed(played):
            results[played[done]] = done.result()
            print(line_of(*played[done], *done.result()), file=sys.stderr, flush=True)
    print("| day | seed | score | G | floor | top | served (least) | after close, sent on, told | verdict |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for each in todo:
        print(line_of(*each, *results[each]))
    failed = sum(bool(faults) for _, faults in results.values())
    print(f"\n{len(todo) - failed} of {len(todo)} days hold")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
