"""Collects statistics from attempts: usual times, and evidence on versions.

An attempt is recorded once it has ended. Times are kept by service and model;
evidence for or against a version that is being rolled out goes to its trial.
"""

import http

from rhubarbbank_router import attempt_states
from rhubarbbank_router import defaults
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial


def record_outcome(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
    failed: bool,
    silent: bool = False,
) -> None:
    """Records an attempt that has ended with an answer or a failure.

    A connection that is interrupted is evidence on the upstream's host, often
    from many requests at once. Evidence on its version comes only from its
    answers and from how long they take.

    Args:
        state: The router's state.
        opened: The request.
        attempt: The attempt.
        now: In seconds.
        failed: Whether it failed.
        silent: Whether it was cancelled because no bytes arrived, and this is
            the first one in the upstream's current period of silence.
    """
    times = state.view.get_service_times(attempt.service)
    if attempt.status or silent or not failed:
        is_server_error = (
            attempt.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        )
        slow = silent or is_slow(state, opened, attempt, now=now)
        record_trial_evidence(
            state, opened, attempt, failed=is_server_error, slow=slow, now=now
        )
    is_typical = not is_on_trial(state, attempt)
    if opened.is_stream and is_typical:
        learn_pace(attempt, times, now=now)
    if failed:
        state.view.record_failure(attempt.upstream, now=now)
        return
    state.view.record_success(attempt.upstream)
    if attempt.status == http.HTTPStatus.OK and not opened.is_stream:
        record_response_time(state, opened, attempt, now=now)
    if attempt.status == http.HTTPStatus.OK and is_typical:
        took_s = now - attempt.sent_at
        times.answer_s = upstreams.smooth(times.answer_s, took_s)
        if not opened.is_stream:
            route = opened.route.name
            usual_s = times.answer_s_by_route.get(route, took_s)
            times.answer_s_by_route[route] = upstreams.smooth(usual_s, took_s)


def record_response_time(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
    censored: bool = False,
) -> None:
    """Records how long an attempt took, for the delay of hedges.

    Args:
        state: The router's state.
        opened: The request.
        attempt: The attempt, at its first event or its end.
        now: In seconds.
        censored: Whether it was cancelled before.
    """
    settings = state.settings.hedging
    if settings is None or not opened.route.repeatable:
        return
    if attempt.state in attempt_states.NOT_RUN_STATES:
        return
    if is_on_trial(state, attempt):
        return
    state.usual_times.record(
        (opened.route.name, attempt.model),
        now - attempt.sent_at,
        max_share=settings.max_share,
        censored=censored,
        now=now,
    )


def record_lost_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Records an attempt that was cancelled since another answered first.

    It would have taken longer than it did. So it enters the usual times, which
    would otherwise fall as slow answers are cancelled, and counts as slow in
    the trial of its version.
    """
    record_trial_evidence(
        state, opened, attempt, failed=False, slow=True, now=now
    )
    if is_on_trial(state, attempt):
        return
    times = state.view.get_service_times(attempt.service)
    took_s = now - attempt.sent_at
    if opened.is_stream:
        if took_s > times.first_event_s:
            times.first_event_s = upstreams.smooth(times.first_event_s, took_s)
        return
    if took_s > times.answer_s:
        times.answer_s = upstreams.smooth(times.answer_s, took_s)
    usual_s = times.answer_s_by_route.get(opened.route.name)
    if usual_s is not None and took_s > usual_s:
        times.answer_s_by_route[opened.route.name] = upstreams.smooth(
            usual_s, took_s
        )


def is_on_trial(
    state: states.RouterState, attempt: attempt_states.Attempt
) -> bool:
    """Returns whether an attempt runs on a version that is being rolled out.

    Such attempts are left out of the usual times, so that a slow version
    isn't compared with its own times.
    """
    trial = state.trials.get(attempt.service)
    if trial is None or trial.order.target != attempt.version:
        return False
    return not trial.is_finished


def record_trial_evidence(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    failed: bool,
    slow: bool,
    now: float,
) -> None:
    """Counts an attempt in the trial of its version, at most once."""
    trial = state.trials.get(attempt.service)
    if trial is None or attempt.evidence_counted:
        return
    attempt.evidence_counted = True
    timed = not opened.is_stream
    timed = timed or attempt.events >= defaults.MIN_EVENTS_FOR_PACE
    trial.add_counts(
        route=opened.route.name,
        version=attempt.version,
        counts=version_trial.AnswerCounts().add(
            failed=failed,
            slow=slow,
            timed=timed,
            dragging=is_dragging(state, opened, attempt, now=now),
        ),
    )


def predict_excuse(
    state: states.RouterState,
    attempt: attempt_states.Attempt,
    *,
    duration_s: float,
) -> float:
    """Returns by which factor an attempt's host explains a longer time.

    A slow host isn't evidence on the version that runs there.
    """
    mean = state.view.get_service_times(attempt.service).slowdown
    slowdown = state.slowdowns.predict(
        attempt.slowdown, mean=mean, age_s=0.0, duration_s=duration_s
    )
    return max(1.0, slowdown / mean)


def is_slow(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> bool:
    """Returns whether an attempt took several times the expected time."""
    times = state.view.get_service_times(attempt.service)
    waited_s = (attempt.first_event_at or now) - attempt.sent_at
    expected_s = times.answer_s
    if opened.is_stream:
        work_s = attempt.backlog_s + attempt.prefill_s
        expected_s = max(times.first_event_s, work_s)
    expected_s *= predict_excuse(state, attempt, duration_s=waited_s)
    # A wait past the route's objective is slow even below SLOW_FLOOR_S.
    floor_s = min(defaults.SLOW_FLOOR_S, opened.route.target_latency_s)
    limit_s = max(defaults.SLOW_FACTOR * expected_s, floor_s)
    if waited_s > limit_s:
        return True
    max_ratio = defaults.SLOW_PACE_FACTOR
    return bool(exceeds_usual_pace(max_ratio, attempt, times, now=now))


def is_dragging(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> bool | None:
    """Returns whether an answer drags; None if it can't be compared.

    Dragging is a lower threshold than slow: a plain answer drags if it takes
    longer than DRAG_PLAIN_FACTOR times its route's usual time, a stream if
    the mean time between its events is over DRAG_PACE_FACTOR times the usual
    one. Plain attempts without a 200 answer aren't compared, because silence
    is also caused by hosts and connections.
    """
    times = state.view.get_service_times(attempt.service)
    if not opened.is_stream:
        usual_s = times.answer_s_by_route.get(opened.route.name)
        if usual_s is None or attempt.status != http.HTTPStatus.OK:
            return None
        took_s = now - attempt.sent_at
        usual_s *= predict_excuse(state, attempt, duration_s=took_s)
        return took_s > defaults.DRAG_PLAIN_FACTOR * usual_s
    return exceeds_usual_pace(
        defaults.DRAG_PACE_FACTOR, attempt, times, now=now
    )


def exceeds_usual_pace(
    max_ratio: float,
    attempt: attempt_states.Attempt,
    times: upstreams.ServiceTimes,
    *,
    now: float,
) -> bool | None:
    """Returns whether a stream's events come too slowly, compared with usual.

    Args:
        max_ratio: The limit, as a multiple of the model's usual time between
            events at the load that the upstream had.
        attempt: The attempt.
        times: Usual times of its service.
        now: In seconds.

    Returns:
        None if the stream is too short, or no usual time is known yet.
    """
    pace_s = measure_pace_s(attempt, now=now)
    usual_s = times.find_pace_s(attempt.model, attempt.load_level)
    if pace_s is None or usual_s is None:
        return None
    return pace_s > max_ratio * usual_s


def measure_pace_s(
    attempt: attempt_states.Attempt, *, now: float
) -> float | None:
    """Returns the mean time between events; None if there are too few."""
    if attempt.first_event_at is None:
        return None
    if attempt.events < defaults.MIN_EVENTS_FOR_PACE:
        return None
    return (now - attempt.first_event_at) / (attempt.events - 1)


def learn_pace(
    attempt: attempt_states.Attempt,
    times: upstreams.ServiceTimes,
    *,
    now: float,
) -> None:
    """Updates a model's usual time between events at the upstream's load."""
    pace_s = measure_pace_s(attempt, now=now)
    if pace_s is not None:
        times.learn_pace(attempt.model, attempt.load_level, pace_s)


def record_progress(
    state: states.RouterState, attempt: attempt_states.Attempt, *, now: float
) -> None:
    """Records that an attempt has made progress."""
    attempt.last_progress_at = now
    state.view.record_bytes_received(attempt.upstream, now=now)
