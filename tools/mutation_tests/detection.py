"""Detects a mutation: runs the model checker, the simulation and the unit tests until one fails."""
import dataclasses
import pathlib
import subprocess

BUILD_JOBS = "6"
# The number of lines of the build's output that are printed if a mutated copy does not build.
BUILD_ERROR_LINES = 5

# The simulated clusters of replication: (replicas of each shard, minimum for granting claims).
REPLICATION_SIZES = (("2", "2"), ("3", "2"), ("3", "3"))
# The simulated clusters of leases: (planners, members).
LEASE_SIZES = (("3", "4"), ("5", "20"))


@dataclasses.dataclass(frozen=True)
class Detection:
    """The test that failed without a guard, and the lines of its output about the failure."""

    detected_by: str
    lines: list[str]


class BuildError(Exception):
    """A mutated copy does not build. The message is the end of the build's output."""


def run_command(*command, **options) -> subprocess.CompletedProcess:
    """Executes a command. Its output and its error output are captured as one text."""
    return subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, **options)


def build(tree: pathlib.Path, build_folder: pathlib.Path, *targets: str) -> None:
    """Builds the targets in Release mode; raises BuildError if the build fails."""
    if not (build_folder / "CMakeCache.txt").exists():
        run_command(
            "cmake", "-S", tree, "-B", build_folder, "-DCMAKE_BUILD_TYPE=Release", check=True)
    result = run_command("cmake", "--build", build_folder, "-j", BUILD_JOBS, "--target", *targets)
    if result.returncode != 0:
        raise BuildError("\n".join(result.stdout.splitlines()[-BUILD_ERROR_LINES:]))


def first_schedule(lines: list[str]) -> list[str]:
    """Returns the first fault that the model checker printed, with the events that lead to it."""
    start = next((i for i, line in enumerate(lines) if line.endswith("after:")), len(lines) - 1)
    end = start + 1
    while end < len(lines) and lines[end].startswith("  "):
        end += 1
    return lines[start:end]


def run_model_checker(build_folder: pathlib.Path, replication: bool) -> Detection | None:
    """Runs the model checker; if `replication` is set, only its scenarios of replication."""
    only = ["--only", "holders"] if replication else []
    result = run_command(
        build_folder / "tideline_model_checker", "--depth", "1", "--first-fault", *only)
    if result.returncode == 0:
        return None
    return Detection("model checker", first_schedule(result.stdout.splitlines()))


def simulations(replication: bool) -> list[tuple[str, list[str]]]:
    """Returns the label and the arguments of each run of the simulation."""
    if replication:
        return [(f"{replicas} replicas, {min_replicas} at least",
                 ["holders", "--copies", replicas, "--least", min_replicas])
                for replicas, min_replicas in REPLICATION_SIZES]
    return [(f"{planners} planners, {members} members",
             ["leases", "--planners", planners, "--members", members])
            for planners, members in LEASE_SIZES]


def run_simulation(build_folder: pathlib.Path, seeds: int, replication: bool) -> Detection | None:
    """Runs the simulation, which injects faults by seed, on clusters of several sizes."""
    for label, arguments in simulations(replication):
        result = run_command(
            build_folder / "tideline_simulation", *arguments, "--seeds", str(seeds))
        if result.returncode != 0:
            return Detection(f"simulation, {label}", result.stdout.splitlines()[:1])
    return None


def run_unit_tests(
        tree: pathlib.Path, build_folder: pathlib.Path, replication: bool) -> Detection | None:
    """Runs the module's unit tests, which cover cases that no simulated cluster reaches."""
    target = "tideline_replication_tests" if replication else "tideline_lease_tests"
    build(tree, build_folder, target)
    result = run_command(build_folder / target)
    if result.returncode == 0:
        return None
    failed = [line for line in result.stdout.splitlines() if "FAILED" in line]
    return Detection("unit tests", failed[:1])


def detect(tree: pathlib.Path, build_folder: pathlib.Path, seeds: int,
           replication: bool) -> Detection | None:
    """Returns the first failure of the model checker, the simulation or the unit tests, if any."""
    build(tree, build_folder, "tideline_model_checker", "tideline_simulation")
    return (run_model_checker(build_folder, replication)
            or run_simulation(build_folder, seeds, replication)
            or run_unit_tests(tree, build_folder, replication))
