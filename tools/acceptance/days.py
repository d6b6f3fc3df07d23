#!/usr/bin/env python3
"""Runs short days of the operators' acceptance test and prints a table with one line per day and seed.

Runs the bench once per day and seed, and reads the report that the bench writes with --json. The bench applies
the operators' acceptance criteria only to a whole set of days, so this program applies to each single day those
criteria for which the report has figures. Exit status: 0 if every day passed, 1 if one failed, crashed or gave no
report, 2 for invalid arguments.
"""
import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys

# The operators' acceptance criteria, each with its unit.
SHARE_TARDY = 0.1       # share of the restarted sidecars that are not ready within 10 s
SHARE_SHUNNED = 0.1     # share of the sidecars that reject every request for 4 s (days calm and roll only)
SHARE_TOLD = 0.2        # share of the attempts after the first that announce 0.15 s more than the time left
SHARE_GONE = 0.25       # share of the requests sent although their client closed before the first attempt
GONE_LEAST = 5          # requests; fewer such requests are no violation
CLASS_LEAST = 0.3       # share; classes of which the reference policy, which sees late, serves less are exempt
TENANT_PART = 1 / 3     # of the reference policy's share, for each tenant
THIRD_PART = 0.2        # of the reference policy's share, for each third of the day


def seeds_of(text):
    """Returns the seeds that a text like '1-10' or '3,7,9' names."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def faults_of(report):
    """Returns a description of each criterion that the report violates; empty if it meets all."""
    row, seen = report["row"], report["real"]["seen"]
    faults = [f"rule {name} violated {times} times" for name, times in row["rules"].items() if times]
    if report["fault"]:
        faults.append(f"fault: {report['fault']}")
    if row["served"] < row["served_least"]:
        faults.append(f"served {row['served']:.3f}, below {row['served_least']:.3f}")
    for name, served, least in row["by_class"]:
        if least >= CLASS_LEAST / 2 and served < least:
            faults.append(f"operation {name} served {served:.3f}, below {least:.3f}")
    for name, served, least in row["by_tenant"]:
        if served < least:
            faults.append(f"tenant {name} served {served:.3f}, below {least:.3f}")
    restarted, tardy = seen["tardy"]
    if tardy > SHARE_TARDY * restarted:
        faults.append(f"{tardy} of {restarted} restarted sidecars not ready in time")
    further, told = seen["time_told"]
    if told > SHARE_TOLD * further:
        faults.append(f"{told} of {further} attempts after the first announce too long a time limit")
    waiting, sent_on = seen["gone_waiting"]
    if sent_on >= GONE_LEAST and sent_on > SHARE_GONE * waiting:
        faults.append(f"{sent_on} of {waiting} waiting requests sent after their client closed")
    if row["name"].split("+")[0] in ("calm", "roll") and row["shunned"] > SHARE_SHUNNED:
        faults.append(f"share {row['shunned']:.2f} of the sidecars rejects every request for 4 s")
    return faults


def play(wish, day, seed):
    """Runs one day; returns the bench's report, None if there is none, and the list of violations."""
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
        words = (run.stderr.strip() or run.stdout.strip() or "no output").splitlines()[-1]
        return None, [f"no usable report (exit status {run.returncode}, {type(error).__name__}): {words[:80]}"]
    if run.returncode != 0 and not faults:
        faults.append(f"exit status {run.returncode}")
    return report, faults


def line_of(day, seed, report, faults):
    """Returns the line of the table for one day and seed."""
    if report is None:
        return f"| {day} | {seed} | - | - | - | - | - | - | FAILED: {'; '.join(faults)} |"
    row, seen = report["row"], report["real"]["seen"]
    return (f"| {day} | {seed} | {row['score']:.2f} | {row['G']:.3f} | {row['G_floor']:.3f} | "
            f"{row['G_top']:.3f} | {row['served']:.3f} ({row['served_least']:.3f}) | "
            f"{seen['after_close']}, {seen['gone_waiting'][1]}/{seen['gone_waiting'][0]}, "
            f"{seen['time_told'][1]}/{seen['time_told'][0]} | "
            f"{'FAILED: ' + '; '.join(faults) if faults else 'passed'} |")


def main():
    """Returns the exit status."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--bench", required=True, help="the bench's program lbreal")
    words.add_argument("--site", required=True, help="the site file")
    words.add_argument("--days", default="roll,split,join", help="kinds of days (default: %(default)s)")
    words.add_argument("--seeds", default="1-10", type=seeds_of, help="such as 1-10 or 3,7 (default: %(default)s)")
    words.add_argument("--nodes", default=30, type=int, help="sidecars in each day (default: %(default)s)")
    words.add_argument("--jobs", default=4, type=int, help="days that run at a time (default: %(default)s)")
    words.add_argument("--out", default="build/acceptance", type=pathlib.Path,
                       help="folder of the reports (default: %(default)s)")
    words.add_argument("--logs", action="store_true", help="also keep the sidecars' logs in the folder of the reports")
    words.add_argument("--why", default="Short days of the standing acceptance, as a table seed by day",
                       help="the reason for the run, which is passed to the bench")
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
    print("| day | seed | score | G | floor | top | served (minimum) | "
          "after close, sent/waiting, told/attempts | result |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for each in todo:
        print(line_of(*each, *results[each]))
    failed = sum(bool(faults) for _, faults in results.values())
    print(f"\n{len(todo) - failed} of {len(todo)} days passed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
