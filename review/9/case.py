"""A sound request whose answer is lost three times is refused for ever.

An entry takes each lost answer for a crash of the runner, although the runner
goes on. After three, a request with the same path, caller and body is refused;
each refusal prolongs that by a minute, and none is ever tried again.
"""

import os
import pathlib
import sys
import time

import harness

FOLDER = pathlib.Path(__file__).resolve().parent
ROUNDS = 30
SETTLE_S = 4.0
POLL_S = 1.1
# Up to 6.68 s in the site files.
TROUBLE_S = 6.0
RUNNERS = 5
# "share of the servers": 0.6 at the most.
LOSING = 3
STATUS_PATH = "/status/today"
LOOK = harness.build_route(
    "look", "/look/", "idempotent", harness.BOOKINGS, max_attempts=2
)
STATUS = harness.build_route(
    "status", "/status/", "idempotent", harness.BOOKINGS, max_attempts=2
)


def poll(fleet: harness.Fleet, *, rounds: int) -> tuple[float, float]:
    """Returns which share is served of the first and of the later route."""
    first = later = 0
    for number in range(rounds):
        ends_at = fleet.record.now + POLL_S
        later += fleet.ask(STATUS_PATH, method="GET").served
        for step in range(8):
            path = f"/look/{number}-{step}"
            first += fleet.ask(path, method="GET").served
        time.sleep(max(0.0, ends_at - fleet.record.now))
    return first / (8 * rounds), later / rounds


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 without a result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = harness.Record(FOLDER / "record.txt")
    with harness.Fleet(record=record, entries=1) as fleet:
        fleet.configure(harness.build_configuration(1, [LOOK]))
        runners = [
            fleet.add_runner(f"i-b{number}", harness.BOOKINGS)
            for number in range(RUNNERS)
        ]
        fleet.start_all()
        fleet.configure(harness.build_configuration(2, [LOOK, STATUS]))
        time.sleep(SETTLE_S)
        before = poll(fleet, rounds=5)
        record.write(f"served before: first {before[0]}, later {before[1]}")
        if min(before) < 1.0:
            return harness.NOT_RUN
        arrived = [len(each.arrivals) for each in runners]
        for runner in runners[:LOSING]:
            runner.lost_prefix = STATUS_PATH if trouble else ""
        # The others are full with what other machines send them.
        for runner in runners[LOSING:]:
            runner.refusal = {"X-Not-Executed": "1"}
        poll(fleet, rounds=int(TROUBLE_S / POLL_S))
        for runner, known in zip(runners, arrived, strict=True):
            new = runner.arrivals[known:]
            lost = sum(x.target == STATUS_PATH for x in new)
            record.write(
                f"{runner.name} ran {len(new)} requests, {lost} of them"
                f" {STATUS_PATH}; answers lost: {bool(runner.lost_prefix)}"
            )
            runner.lost_prefix = ""
            runner.refusal = None
        time.sleep(SETTLE_S)
        first, later = poll(fleet, rounds=ROUNDS)
        record.write(f"served after: first {first}, later {later}")
        broken = later < 0.25 * first
        record.write(f"CONFIG {'broken' if broken else 'held'}")
        return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (TimeoutError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(harness.NOT_RUN)
