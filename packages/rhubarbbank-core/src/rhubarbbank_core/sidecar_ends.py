"""Messages that end attempts at a sidecar, and crash identification."""

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import events
from rhubarbbank_core import path_messages
from rhubarbbank_core import sidecar_attempts

USAGE_FIELD = b'"usage"'
# The token counts are in the last event, or in the one before "[DONE]".
USAGE_TAIL_EVENTS = 2
# Connections that break within this time of one another count as one crash.
CRASH_WINDOW_S = 0.5


class Usage(msgspec.Struct, frozen=True):
    """Token counts reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class UsageEvent(msgspec.Struct, frozen=True):
    """The part of an answer event that billing uses."""

    usage: Usage | None = None


USAGE_DECODER = msgspec.json.Decoder(UsageEvent)


class CrashCounter:
    """Assigns an id to each crash, shared by all requests it broke off.

    Attributes:
        name: The sidecar's name, which the ids start with.
        count: Crashes seen so far.
        last_broken_at: When a connection last broke, in seconds.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.count = 0
        self.last_broken_at = float("-inf")

    def assign_incident(self, end: events.UpstreamEnd, *, now: float) -> str:
        """Returns the crash's id, or "" if the upstream didn't crash."""
        if end is not events.UpstreamEnd.BROKEN:
            return ""
        if now - self.last_broken_at > CRASH_WINDOW_S:
            self.count += 1
        self.last_broken_at = now
        return f"{self.name}/{self.count}"


def update_usage(
    attempt: sidecar_attempts.Attempt, answer_events: list[bytes]
) -> None:
    """Updates the attempt's token counts if the events contain any."""
    for event in answer_events[-USAGE_TAIL_EVENTS:]:
        if USAGE_FIELD not in event:
            continue
        try:
            usage = USAGE_DECODER.decode(event).usage
        except msgspec.MsgspecError:
            continue
        if usage is not None:
            attempt.prompt_tokens = usage.prompt_tokens
            attempt.completion_tokens = usage.completion_tokens


def get_run_state(end: events.UpstreamEnd) -> errors.RunState:
    """Returns whether a call that ended without an answer may have run."""
    if end is events.UpstreamEnd.UNREACHED:
        return errors.RunState.NOT_RUN
    return errors.RunState.UNKNOWN


def build_refusal(
    submit: path_messages.Submit,
    problem: errors.Problem,
    *,
    load: path_messages.Load,
) -> path_messages.Failed:
    """Returns the refusal of an attempt not sent to the upstream."""
    return path_messages.Failed(
        request_id=submit.request_id,
        attempt=submit.attempt,
        code=problem.code,
        run_state=errors.RunState.NOT_RUN,
        retry_after_s=problem.retry_after_s or 0.0,
        crashed=False,
        incident="",
        running=[],
        load=load,
    )


def build_cancellation(
    attempt: sidecar_attempts.Attempt, *, load: path_messages.Load
) -> path_messages.Failed:
    """Returns the reply to late duplicates of a cancelled submit."""
    return path_messages.Failed(
        request_id=attempt.submit.request_id,
        attempt=attempt.submit.attempt,
        code=errors.ErrorCode.UPSTREAM_FAILED,
        run_state=errors.RunState.UNKNOWN,
        retry_after_s=0.0,
        crashed=False,
        incident="",
        running=[],
        load=load,
    )


def build_end_message(
    attempt: sidecar_attempts.Attempt,
    event: events.UpstreamEnded,
    *,
    load: path_messages.Load,
    running: list[sidecar_attempts.Attempt],
    incident: str,
) -> effects.Message:
    """Returns the message that tells the entry how an attempt ended.

    Args:
        attempt: The attempt.
        event: How the upstream call ended.
        load: The upstream's load.
        running: All running attempts, including this one.
        incident: The crash's id, or "" if there was none.
    """
    if event.end is events.UpstreamEnd.COMPLETE:
        return path_messages.Done(
            request_id=event.request_id,
            attempt=event.attempt,
            end_event=attempt.end_event,
            status=event.status,
            content_type=event.content_type,
            prompt_tokens=attempt.prompt_tokens,
            completion_tokens=attempt.completion_tokens,
            load=load,
            waited_s=attempt.waited_s,
        )
    crashed = bool(incident)
    return path_messages.Failed(
        request_id=event.request_id,
        attempt=event.attempt,
        code=errors.ErrorCode.UPSTREAM_FAILED,
        run_state=get_run_state(event.end),
        retry_after_s=event.retry_after_s,
        crashed=crashed,
        incident=incident,
        running=[x.submit.fingerprint for x in running] if crashed else [],
        load=load,
    )
