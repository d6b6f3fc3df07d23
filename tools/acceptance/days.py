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

# The operators' acceptance criteria. A share is a number from 0 to 1.
# Of the restarted sidecars, the share that is not ready within 10 s.
MAX_NOT_READY_SHARE = 0.1
# Of all sidecars, the share that rejects every request for 4 s (days calm and roll only).
MAX_REJECTING_SHARE = 0.1
# Of the attempts after the first, the share that announces 0.15 s more than the time left.
MAX_OVERSTATED_TIME_SHARE = 0.2
# Of the requests whose client closed before the first attempt, the share that is sent later.
MAX_SENT_AFTER_CLOSE_SHARE = 0.25
# Requests; a lower number of requests sent after their client closed is no violation.
MIN_SENT_AFTER_CLOSE = 5
# A request class is exempt if the reference policy, which gets its information late, serves less than this share.
MIN_REFERENCE_SHARE = 0.3
# The minimum share of served requests relative to the reference policy, for each tenant.
MIN_TENANT_RATIO = 1 / 3
# The minimum share of served requests relative to the reference policy, for each third of the day.
MIN_THIRD_RATIO = 0.2


def parse_seeds(text):
    """Returns the seeds that a text like '1-10' or '3,7,9' names."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def find_violations(report):
    """Returns a description of each criterion that the report violates; empty if it meets all."""
    row, seen = report["row"], report["real"]["seen"]
    violations = [f"rule {name} violated {times} times" for name, times in row["rules"].items() if times]
    if report["fault"]:
        violations.append(f"fault: {report['fault']}")
    if row["served"] < row["served_least"]:
        violations.append(f"served {row['served']:.3f}, below {row['served_least']:.3f}")
    for name, served, least in row["by_class"]:
        if least >= MIN_REFERENCE_SHARE / 2 and served < least:
            violations.append(f"operation {name} served {served:.3f}, below {least:.3f}")
    for name, served, least in row["by_tenant"]:
        if served < least:
            violations.append(f"tenant {name} served {served:.3f}, below {least:.3f}")
    restarted, not_ready = seen["tardy"]
    if not_ready > MAX_NOT_READY_SHARE * restarted:
        violations.append(f"{not_ready} of {restarted} restarted sidecars not ready in time")
    later_attempts, overstated = seen["time_told"]
    if overstated > MAX_OVERSTATED_TIME_SHARE * later_attempts:
        violations.append(f"{overstated} of {later_attempts} attempts after the first "
                          "announce too long a time limit")
    waiting, sent_later = seen["gone_waiting"]
    if sent_later >= MIN_SENT_AFTER_CLOSE and sent_later > MAX_SENT_AFTER_CLOSE_SHARE * waiting:
        violations.append(f"{sent_later} of {waiting} waiting requests sent after their client closed")
    if row["name"].split("+")[0] in ("calm", "roll") and row["shunned"] > MAX_REJECTING_SHARE:
        violations.append(f"share {row['shunned']:.2f} of the sidecars rejects every request for 4 s")
    return violations


def run_day(options, day, seed):
    """Runs one day; returns the bench's report, None if there is none, and the list of violations."""
    report_path = options.out / f"{day}-{seed}.json"
    report_path.unlink(missing_ok=True)
    command = [options.bench, options.site, "--rough", f"{day}+mass", "--nodes", str(options.nodes),
               "--seed", str(seed), "--no-build", "--json", str(report_path), "--why", options.why]
    if options.logs:
        command += ["--logs", str(options.out / f"{day}-{seed}")]
    result = subprocess.run(command, capture_output=True, text=True, stdin=subprocess.DEVNULL)
    (options.out / f"{day}-{seed}.txt").write_text(result.stdout + result.stderr)
    try:
        report = json.loads(report_path.read_text())
        violations = find_violations(report)
    except (OSError, ValueError, KeyError, TypeError) as error:
        last_line = (result.stderr.strip() or result.stdout.strip() or "no output").splitlines()[-1]
        return None, [f"no usable report (exit status {result.returncode}, {type(error).__name__}): "
                      f"{last_line[:80]}"]
    if result.returncode != 0 and not violations:
        violations.append(f"exit status {result.returncode}")
    return report, violations


def format_row(day, seed, report, violations):
    """Returns the line of the table for one day and seed."""
    if report is None:
        return f"| {day} | {seed} | - | - | - | - | - | - | FAILED: {'; '.join(violations)} |"
    row, seen = report["row"], report["real"]["seen"]
    return (f"| {day} | {seed} | {row['score']:.2f} | {row['G']:.3f} | {row['G_floor']:.3f} | "
            f"{row['G_top']:.3f} | {row['served']:.3f} ({row['served_least']:.3f}) | "
            f"{seen['after_close']}, {seen['gone_waiting'][1]}/{seen['gone_waiting'][0]}, "
            f"{seen['time_told'][1]}/{seen['time_told'][0]} | "
            f"{'FAILED: ' + '; '.join(violations) if violations else 'passed'} |")


def main():
    """Returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="the bench's program lbreal")
    parser.add_argument("--site", required=True, help="the site file")
    parser.add_argument("--days", default="roll,split,join", help="kinds of days (default: %(default)s)")
    parser.add_argument("--seeds", default="1-10", type=parse_seeds,
                        help="such as 1-10 or 3,7 (default: %(default)s)")
    parser.add_argument("--nodes", default=30, type=int, help="sidecars in each day (default: %(default)s)")
    parser.add_argument("--jobs", default=4, type=int, help="days that run at a time (default: %(default)s)")
    parser.add_argument("--out", default="build/acceptance", type=pathlib.Path,
                        help="folder of the reports (default: %(default)s)")
    parser.add_argument("--logs", action="store_true",
                        help="also keep the sidecars' logs in the folder of the reports")
    parser.add_argument("--why", default="Short days of the standing acceptance, as a table seed by day",
                        help="the reason for the run, which is passed to the bench")
    options = parser.parse_args()
    for path in (options.bench, options.site):
        if not pathlib.Path(path).is_file():
            parser.error(f"no such file: {path}")
    options.out.mkdir(parents=True, exist_ok=True)
    runs = [(day, seed) for day in options.days.split(",") for seed in options.seeds]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(max_workers=options.jobs) as executor:
        futures = {executor.submit(run_day, options, *day_and_seed): day_and_seed for day_and_seed in runs}
        for future in concurrent.futures.as_completed(futures):
            results[futures[future]] = future.result()
            print(format_row(*futures[future], *future.result()), file=sys.stderr, flush=True)
    print("| day | seed | score | G | floor | top | served (minimum) | "
          "after close, sent/waiting, told/attempts | result |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for day_and_seed in runs:
        print(format_row(*day_and_seed, *results[day_and_seed]))
    failed = sum(bool(violations) for _, violations in results.values())
    print(f"\n{len(runs) - failed} of {len(runs)} days passed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
