"""Runs every feature and settles the verdict against KNOWN-RED.txt.

This module stands between `make test` and behave. A scenario that fails is
passed over only when KNOWN-RED.txt names it exactly; each one passed over is
printed, and a listed scenario that passes is printed too, so that the list is
kept short. Nothing else changes a verdict.
"""

import pathlib
import sys

from behave import configuration
from behave import model
from behave import runner
from behave import runner_util

KNOWN_RED_FILE = pathlib.Path("KNOWN-RED.txt")
SCENARIO_PREFIX = "scenario: "


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Returns the names of the scenarios that the file lists."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(SCENARIO_PREFIX).strip()
        for line in lines
        if line.startswith(SCENARIO_PREFIX)
    )


def collect_scenarios(
    features: list[model.Feature],
) -> tuple[list[str], list[str]]:
    """Returns the names of passed and of failed scenarios, in that order."""
    passed: list[str] = []
    failed: list[str] = []
    for feature in features:
        for scenario in feature.walk_scenarios():
            status = scenario.status.name
            if status == "passed":
                passed.append(scenario.name.strip())
            elif status not in {"skipped", "untested"}:
                failed.append(scenario.name.strip())
    return passed, failed


def describe_failures(features: list[model.Feature]) -> list[str]:
    """Returns, for each failed step, where it stands and why it failed."""
    lines: list[str] = []
    for feature in features:
        for scenario in feature.walk_scenarios():
            lines += [
                f"{scenario.location} {step.keyword} {step.name}: "
                f"{step.error_message or step.status.name}"
                for step in scenario.all_steps
                if step.status.name in {"failed", "error", "undefined"}
            ]
    return lines


def main(arguments: list[str]) -> int:
    """Runs behave and returns the exit code: 0 when nothing new failed."""
    settings = configuration.Configuration(
        ["--no-capture", "--no-skipped", "--format=progress", *arguments]
    )
    if not settings.format:
        settings.format = [settings.default_format]
    bench = runner.Runner(settings)
    try:
        broken = bench.run()
    except runner_util.InvalidFilenameError as error:
        print(f"No such feature: {error}")
        return 2
    passed, failed = collect_scenarios(bench.features)
    for line in describe_failures(bench.features):
        print(line)
    known_red = read_known_red(KNOWN_RED_FILE)
    for name in failed:
        if name in known_red:
            print(f"known red, passed over: {name}")
    for name in passed:
        if name in known_red:
            print(f"listed as known red, yet it passed: {name}")
    fresh = [name for name in failed if name not in known_red]
    for name in fresh:
        print(f"failed: {name}")
    print(f"features: {len(passed)} passed, {len(fresh)} failed")
    if not passed or (broken and not failed):
        return 1
    return 1 if fresh else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
