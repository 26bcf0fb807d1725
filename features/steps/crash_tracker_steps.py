"""Steps for requests that crash their upstreams."""

from behave import given
from behave import runner
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import crash_suspects


def make_fingerprint(body: str) -> str:
    return crash_suspects.fingerprint(organisation="o", body=body.encode())


@then("these bodies share a fingerprint")
def step_same_fingerprint(context: runner.Context) -> None:
    for row in context.table:
        assert make_fingerprint(row["one"]) == make_fingerprint(row["other"])


@then("these bodies differ in fingerprint")
def step_other_fingerprint(context: runner.Context) -> None:
    for row in context.table:
        assert make_fingerprint(row["one"]) != make_fingerprint(row["other"])


@given("a crash tracker")
def step_tracker(context: runner.Context) -> None:
    context.tracker = crash_suspects.CrashSuspects()


def start_request(
    context: runner.Context, name: str, upstream: str, *, alone: bool = False
) -> bool:
    kind = crash_suspects.StartedAlone if alone else crash_suspects.Started
    accepted: bool = context.tracker.fold(
        kind(
            request_id=f"{name}-{upstream}", fingerprint=name, upstream=upstream
        )
    )
    return accepted


@when('"{one}" and "{other}" run on "{upstream}" and it crashes')
def step_crash(
    context: runner.Context, one: str, other: str, upstream: str
) -> None:
    assert start_request(context, one, upstream)
    assert start_request(context, other, upstream)
    context.tracker.fold(
        crash_suspects.Crashed(upstream=upstream, incident=upstream)
    )


@when('"{name}" reruns alone on "{upstream}" and it crashes')
def step_crash_alone(context: runner.Context, name: str, upstream: str) -> None:
    assert start_request(context, name, upstream, alone=True)
    context.tracker.fold(
        crash_suspects.Crashed(upstream=upstream, incident=upstream)
    )


@when('"{name}" reruns alone on "{upstream}" and ends')
def step_end_alone(context: runner.Context, name: str, upstream: str) -> None:
    assert start_request(context, name, upstream, alone=True)
    context.tracker.fold(crash_suspects.Ended(request_id=f"{name}-{upstream}"))


@when('"{name}" starts alone on "{upstream}"')
def step_start_alone(context: runner.Context, name: str, upstream: str) -> None:
    assert start_request(context, name, upstream, alone=True)


@then('the crash tracker calls "{name}" "{suspicion}"')
def step_suspicion(context: runner.Context, name: str, suspicion: str) -> None:
    assert context.tracker.check(name) == suspicion


@then('the crash tracker denies "{name}" a start in company on "{upstream}"')
def step_denies(context: runner.Context, name: str, upstream: str) -> None:
    assert not start_request(context, name, upstream)


@then('the crash tracker denies "{name}" a second lone start on "{upstream}"')
def step_denies_alone(
    context: runner.Context, name: str, upstream: str
) -> None:
    assert not start_request(context, name, upstream, alone=True)


class CrashingFleet:
    """Upstreams that crash under `bad` requests, and what they run."""

    def __init__(self) -> None:
        self.tracker = crash_suspects.CrashSuspects()
        self.running: dict[str, tuple[str, str]] = {}
        self.lost = 0

    def list_here(self, upstream: str) -> list[str]:
        return [
            key for key, each in self.running.items() if each[1] == upstream
        ]

    def start(self, request_id: str, name: str, upstream: str) -> None:
        record = crash_suspects.Started(
            request_id=request_id, fingerprint=name, upstream=upstream
        )
        if self.tracker.fold(record):
            self.running[request_id] = (name, upstream)

    def start_alone(self, request_id: str, name: str, upstream: str) -> None:
        record = crash_suspects.StartedAlone(
            request_id=request_id, fingerprint=name, upstream=upstream
        )
        if self.tracker.fold(record):
            assert not self.list_here(upstream), "not alone"
            self.running[request_id] = (name, upstream)

    def end(self, upstream: str) -> None:
        for key in self.list_here(upstream):
            if self.running[key][0].startswith("good"):
                del self.running[key]
                self.tracker.fold(crash_suspects.Ended(request_id=key))

    def crash(self, incident: str, upstream: str) -> None:
        here = self.list_here(upstream)
        if not any(self.running[key][0].startswith("bad") for key in here):
            return
        self.lost += 1
        record = crash_suspects.Crashed(
            upstream=upstream,
            incident=incident,
            fingerprints=tuple(self.running[key][0] for key in here),
        )
        self.tracker.fold(record)
        self.tracker.fold(record)
        for key in here:
            del self.running[key]


@then(
    "at most {most:d} upstreams crash for each bad request in {count:d}"
    " random runs"
)
def step_interleavings(context: runner.Context, most: int, count: int) -> None:
    event = strategies.tuples(
        strategies.sampled_from(("start", "start", "alone", "end", "crash")),
        strategies.sampled_from(("bad1", "bad1", "bad2", "good1", "good2")),
        strategies.integers(0, 3),
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(event, min_size=30, max_size=60))
    def check(events: list[tuple[str, str, int]]) -> None:
        fleet = CrashingFleet()
        for number, (kind, name, place) in enumerate(events):
            if kind == "start":
                fleet.start(str(number), name, f"u{place}")
            elif kind == "alone":
                fleet.start_alone(str(number), name, f"u{place}")
            elif kind == "end":
                fleet.end(f"u{place}")
            else:
                fleet.crash(str(number), f"u{place}")
            assert fleet.lost <= most * 2, "two bad requests, so twice as many"
            for good in ("good1", "good2"):
                assert fleet.tracker.check(good) != "convicted"

    check()


@then("the crash tracker keeps {most:d} suspects after {count:d} crashes")
def step_bounded(context: runner.Context, most: int, count: int) -> None:
    tracker = crash_suspects.CrashSuspects(
        suspects_kept=most, incidents_kept=most
    )
    for number in range(count):
        tracker.fold(
            crash_suspects.Crashed(
                upstream="u", incident=str(number), fingerprints=(f"f{number}",)
            )
        )
        assert len(tracker.suspicions) <= most
        assert len(tracker.incidents) <= most
    assert tracker.check(f"f{count - 1}") == "suspect"
