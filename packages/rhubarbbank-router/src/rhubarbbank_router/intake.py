"""Checks a caller's request and finds its route, customer and time.

What can't be served is refused here at once, before anything is sent.
"""

import dataclasses
import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import state as states


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hindrance:
    """Why a request isn't served.

    Attributes:
        status: HTTP status of the answer.
        code: What hinders it.
        retry_after_s: When coming back helps; None to draw a time for a 503,
            and for none otherwise.
    """

    status: http.HTTPStatus
    code: errors.ErrorCode
    retry_after_s: float | None = None


NO_CONFIGURATION = Hindrance(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.TABLE_NOT_CONFIRMED,
)
OVERLOADED = Hindrance(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.OVERLOADED,
)
STOPPING = Hindrance(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.SHUTTING_DOWN,
    retry_after_s=defaults.STOP_RETRY_AFTER_S,
)
CRASH_SUSPECT = Hindrance(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.CRASH_SUSPECT,
    retry_after_s=defaults.SUSPECT_EXPIRY_S,
)
NO_ROUTE = Hindrance(
    status=http.HTTPStatus.NOT_FOUND, code=errors.ErrorCode.NOT_FOUND
)
UNKNOWN_KEY = Hindrance(
    status=http.HTTPStatus.UNAUTHORIZED,
    code=errors.ErrorCode.UNKNOWN_ORGANISATION,
)


def take_request(
    state: states.RouterState, request: callers.IncomingRequest, *, now: float
) -> list[effects.Effect]:
    """Takes a request in: refuses it, or sends it on its way."""
    if not state.is_informed and is_starting(state, now=now):
        state.held[request.request_id] = states.HeldRequest(request, now)
        return [
            fx.LogDecision(
                decision="held",
                request_id=request.attempt_id,
                reason="the entry is starting",
                inputs=(("listed", ",".join(sorted(state.listed))),),
            )
        ]
    return admit(state, request, arrived_at=now, now=now)


def is_starting(state: states.RouterState, *, now: float) -> bool:
    """Returns whether the first reads of the store may be on their way."""
    started_at = now if state.started_at is None else state.started_at
    return now - started_at < defaults.START_WAIT_S


def release_held(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Goes on with the requests that waited for the entry to start."""
    if not state.held:
        return []
    if not state.is_informed and is_starting(state, now=now):
        return []
    held = list(state.held.values())
    state.held.clear()
    out: list[effects.Effect] = []
    for each in held:
        out += admit(state, each.request, arrived_at=each.arrived_at, now=now)
    return out


def admit(
    state: states.RouterState,
    request: callers.IncomingRequest,
    *,
    arrived_at: float,
    now: float,
) -> list[effects.Effect]:
    """Refuses a request, or sends it on its way."""
    current = state.in_force
    route = state.routes.find(host=request.host, path=request.path)
    hindrance = find_hindrance(state, request, route, now=now)
    if current is None or route is None or hindrance is not None:
        return refuse(state, request, hindrance or NO_CONFIGURATION, now=now)
    organisation = configuration.Organisation(name="")
    if current.keys is not None and not route.public:
        organisation = current.keys[request.key]
    return open_request(
        state, request, route, organisation, arrived_at=arrived_at, now=now
    )


def find_hindrance(
    state: states.RouterState,
    request: callers.IncomingRequest,
    route: configuration.Route | None,
    *,
    now: float,
) -> Hindrance | None:
    """Returns what hinders a request from being served, or None.

    While the proof of freshness doesn't hold, nothing is denied for good: the
    route or the key may be newer than what is known.
    """
    current = state.in_force
    if current is None:
        return NO_CONFIGURATION
    if len(state.open) >= defaults.MAX_OPEN_REQUESTS:
        return OVERLOADED
    needs_key = current.keys is not None and not (route and route.public)
    if needs_key and not state.proof.holds(now=now):
        return NO_CONFIGURATION
    if route is None:
        return NO_ROUTE
    if is_too_late(state, route, now=now):
        return STOPPING
    if needs_key and request.key not in (current.keys or {}):
        return UNKNOWN_KEY
    return None


def open_request(
    state: states.RouterState,
    request: callers.IncomingRequest,
    route: configuration.Route,
    organisation: configuration.Organisation,
    *,
    arrived_at: float,
    now: float,
) -> list[effects.Effect]:
    """Opens a request that may be served, and sends it."""
    fingerprint = crash_suspects.compute_fingerprint(
        request, organisation=organisation.name
    )
    if state.suspects.is_suspect(fingerprint):
        state.suspects.record_refusal(fingerprint, now=now)
        known = state.suspects.build_log_inputs(fingerprint)
        return refuse(state, request, CRASH_SUSPECT, now=now, inputs=known)
    wait_s = route.timeout_s
    if request.wait_s is not None:
        wait_s = min(wait_s, request.wait_s)
    priority = route.priority
    if organisation.priority is not None:
        priority = organisation.priority
    opened = states.OpenRequest(
        request=request,
        route=route,
        service=choose_service(route, request, state),
        organisation=organisation.name,
        priority=priority,
        fingerprint=fingerprint,
        arrived_at=arrived_at,
        ends_at=arrived_at + wait_s,
    )
    state.open[request.request_id] = opened
    state.budget.count_request(opened.service, now=now)
    if route.sizes and not (request.generation and request.generation.model):
        question = dispatch.ask_size(opened, now=now)
        opened.model = state.sizes.choose_first(question)
    return [
        fx.Count("requests"),
        *dispatch.send(state, opened, now=now, cause="first"),
    ]


def is_too_late(
    state: states.RouterState, route: configuration.Route, *, now: float
) -> bool:
    """Returns whether a request might outlast this entry's stop."""
    if state.stop_at is None:
        return False
    stopping_s = now - state.stop_at
    if not dispatch.is_plain(route):
        return stopping_s > defaults.STOP_STREAMS_S
    grace_s = state.settings.bounds.grace_s
    return stopping_s > grace_s - defaults.STOP_PLAIN_MARGIN_S


def choose_service(
    route: configuration.Route,
    request: callers.IncomingRequest,
    state: states.RouterState,
) -> str:
    """Returns the route's service for a request, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [each.weight for each in route.services]
    if not any(weights):
        return route.services[0].service
    return state.rng.choices(route.services, weights)[0].service


def refuse(
    state: states.RouterState,
    request: callers.IncomingRequest,
    hindrance: Hindrance,
    *,
    now: float,
    inputs: tuple[fx.LogInput, ...] = (),
) -> list[effects.Effect]:
    """Refuses a request that has not been sent anywhere.

    Args:
        state: The router's state.
        request: The request.
        hindrance: Why it is refused.
        now: In seconds.
        inputs: What else decided it, for the log.
    """
    retry_after_s = hindrance.retry_after_s
    if (
        hindrance.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        and retry_after_s is None
    ):
        retry_after_s = dispatch.draw_retry_after(state)
    current = state.in_force
    proof_age_s = state.proof.age(now=now)
    return [
        fx.LogDecision(
            decision="refused",
            request_id=request.attempt_id,
            reason=hindrance.code.value,
            inputs=(
                ("status", int(hindrance.status)),
                ("configuration", current.version if current else "none"),
                (
                    "proof_age_s",
                    "none" if proof_age_s is None else round(proof_age_s, 3),
                ),
                ("open", len(state.open)),
                *inputs,
            ),
        ),
        fx.Count(f"refused.{hindrance.code.value}"),
        effects.RefuseRequest(
            request_id=request.request_id,
            status=int(hindrance.status),
            code=hindrance.code.value,
            retry_after_s=retry_after_s,
        ),
    ]
