"""Admits or refuses caller requests.

A request is matched with its route and organisation and gets its deadline. A
request that can't be served is refused here, before anything is sent to an
upstream.
"""

import dataclasses
import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import configuration_copies
from rhubarbbank_router import crash_evidence
from rhubarbbank_router import crash_guard
from rhubarbbank_router import crash_review
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import request_traits
from rhubarbbank_router import rollouts
from rhubarbbank_router import state as states

MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is refused, and the response that says so.

    Attributes:
        status: HTTP status of the response.
        code: Error code of the response.
        retry_after_s: Value of Retry-After, in seconds. If it is None, a 503
            gets a random value and other responses have no Retry-After.
    """

    status: http.HTTPStatus
    code: errors.ErrorCode
    retry_after_s: float | None = None


NO_CONFIGURATION = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.TABLE_NOT_CONFIRMED,
)
OVERLOADED = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.OVERLOADED,
)
STOPPING = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.SHUTTING_DOWN,
    retry_after_s=defaults.STOP_RETRY_AFTER_S,
)
CRASH_SUSPECT = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.CRASH_SUSPECT,
    retry_after_s=defaults.SUSPECT_EXPIRY_S,
)
# Another request with the same trait is being tried, which takes moments.
CAUSE_UNDER_TEST = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    code=errors.ErrorCode.CRASH_SUSPECT,
)
NO_ROUTE = Refusal(
    status=http.HTTPStatus.NOT_FOUND, code=errors.ErrorCode.NOT_FOUND
)
UNKNOWN_KEY = Refusal(
    status=http.HTTPStatus.UNAUTHORIZED,
    code=errors.ErrorCode.UNKNOWN_ORGANISATION,
)


def handle_request(
    state: states.RouterState, request: callers.IncomingRequest, *, now: float
) -> list[effects.Effect]:
    """Admits a new request, or holds it while the entry is starting."""
    if is_starting(state, now=now):
        state.held_requests[request.request_id] = states.HeldRequest(
            request, now
        )
        return [
            fx.LogDecision(
                decision="held",
                request_id=request.attempt_id,
                reason="the entry is starting",
                inputs=(("listed", ",".join(sorted(state.listed_subjects))),),
            )
        ]
    return admit(state, request, arrived_at=now, now=now)


def is_starting(state: states.RouterState, *, now: float) -> bool:
    """Returns whether the entry may still lack data that it starts with.

    It reads the store, and hears from other entries of a roll-out that they
    have begun.
    """
    is_complete = state.is_initialised and state.unproven_read_at is None
    if is_complete and not rollouts.awaits_reports(state):
        return False
    started_at = now if state.started_at is None else state.started_at
    return now - started_at < defaults.START_WAIT_S


def admit_held(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Admits the requests that were held while the entry was starting."""
    if not state.held_requests:
        return []
    if is_starting(state, now=now):
        return []
    held = list(state.held_requests.values())
    state.held_requests.clear()
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
    """Refuses a request, or opens it and sends its first attempt."""
    current = state.active_configuration
    route = state.routes.find(host=request.host, path=request.path)
    refusal = find_refusal(state, request, route, now=now)
    if current is None or route is None or refusal is not None:
        return refuse(state, request, refusal or NO_CONFIGURATION, now=now)
    organisation = configuration.Organisation(name="")
    if current.keys is not None and not route.public:
        organisation = current.keys[request.key]
    return open_request(
        state, request, route, organisation, arrived_at=arrived_at, now=now
    )


def find_refusal(
    state: states.RouterState,
    request: callers.IncomingRequest,
    route: configuration.Route | None,
    *,
    now: float,
) -> Refusal | None:
    """Returns why a request can't be served, or None if it can.

    While the configuration isn't proven fresh, a request that needs a key
    gets a retryable 503 rather than a 401 or 404: its route or key may be
    newer than the configuration in force. A 401 or 404 is final, so that it
    needs a fresher proof than an answer of the upstream.
    """
    if state.is_exiting:
        # Nothing waits for an answer to this request any more.
        return STOPPING
    current = state.active_configuration
    if current is None:
        return NO_CONFIGURATION
    if len(state.open_requests) >= defaults.MAX_OPEN_REQUESTS:
        return OVERLOADED
    needs_key = current.keys is not None and not (route and route.public)
    if configuration_copies.is_outdated(state, now=now):
        return NO_CONFIGURATION
    if needs_key and not state.proof.is_valid(now=now):
        return NO_CONFIGURATION
    if route is None:
        return NO_ROUTE if may_deny(state, now=now) else NO_CONFIGURATION
    if may_outlast_stop(state, route, now=now):
        return STOPPING
    if needs_key and request.key not in (current.keys or {}):
        return UNKNOWN_KEY if may_deny(state, now=now) else NO_CONFIGURATION
    return None


def may_deny(state: states.RouterState, *, now: float) -> bool:
    """Returns whether what the configuration lacks may be denied for good.

    Any change that had to be in force when the request was sent is then known.
    """
    age_s = state.proof.age(now=now)
    apply_s = state.settings.bounds.config_apply_ms / MS_PER_S
    return age_s is not None and age_s <= apply_s


def open_request(
    state: states.RouterState,
    request: callers.IncomingRequest,
    route: configuration.Route,
    organisation: configuration.Organisation,
    *,
    arrived_at: float,
    now: float,
) -> list[effects.Effect]:
    """Opens an admitted request, and sends its first attempt.

    A request that probably crashes its upstream is refused.
    """
    traits = request_traits.list_traits(request, organisation=organisation.name)
    permission = crash_guard.check(state, traits, now=now)
    if not permission.is_granted:
        return refuse_suspect(state, request, traits, permission, now=now)
    timeout_s = route.timeout_s
    if request.timeout_s is not None:
        timeout_s = min(timeout_s, request.timeout_s)
    priority = route.priority
    if organisation.priority is not None:
        priority = organisation.priority
    opened = states.OpenRequest(
        request=request,
        route=route,
        service=choose_service(route, request, state),
        organisation=organisation.name,
        priority=priority,
        traits=traits,
        arrived_at=arrived_at,
        deadline=arrived_at + timeout_s,
    )
    state.open_requests[request.request_id] = opened
    state.budget.count_request(opened.service, now=now)
    hedging = state.settings.hedging
    if hedging is not None and route.repeatable:
        state.hedge_counts.count_request(
            opened.service,
            max_share=hedging.max_share,
            window_s=state.settings.bounds.retry_window_s,
            now=now,
        )
    if route.sizes and not (request.generation and request.generation.model):
        context = dispatch.build_size_context(opened, now=now)
        opened.model = state.sizing_policy.choose_first(context)
    return [
        fx.Count("requests"),
        *dispatch.send(state, opened, now=now, cause="first"),
    ]


def refuse_suspect(
    state: states.RouterState,
    request: callers.IncomingRequest,
    traits: tuple[str, ...],
    permission: crash_guard.Permission,
    *,
    now: float,
) -> list[effects.Effect]:
    """Refuses a request that may crash its upstream.

    While the crashes may turn out to be lost answers, its caller is told to
    return when that has been settled.
    """
    blamed = permission.assessment.traits or {traits[0]}
    state.suspects.record_refusal(blamed, now=now)
    refusal = CRASH_SUSPECT if permission.is_final else CAUSE_UNDER_TEST
    trait = min(blamed, key=traits.index)
    known = (
        *state.suspects.build_log_inputs(trait),
        *crash_evidence.build_refusal_inputs(state, trait, now=now),
    )
    probability = round(permission.assessment.probability, 3)
    settling_s = crash_review.find_settling_s(state, frozenset(blamed), now=now)
    if permission.is_final and settling_s is not None:
        retry_after_s = settling_s + dispatch.draw_retry_after_s(state)
        refusal = dataclasses.replace(
            refusal, retry_after_s=round(retry_after_s, 2)
        )
    return refuse(
        state,
        request,
        refusal,
        now=now,
        inputs=(*known, ("probability", probability)),
    )


def may_outlast_stop(
    state: states.RouterState, route: configuration.Route, *, now: float
) -> bool:
    """Returns whether a request might still be running when the entry exits."""
    if state.stop_at is None:
        return False
    stopping_s = now - state.stop_at
    if not dispatch.is_buffered(route):
        return stopping_s > defaults.STOP_STREAMS_S
    grace_s = state.settings.bounds.grace_s
    return stopping_s > grace_s - defaults.STOP_PLAIN_MARGIN_S


def choose_service(
    route: configuration.Route,
    request: callers.IncomingRequest,
    state: states.RouterState,
) -> str:
    """Returns one of the route's services, drawn at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [each.weight for each in route.services]
    if not any(weights):
        return route.services[0].service
    return state.rng.choices(route.services, weights)[0].service


def refuse(
    state: states.RouterState,
    request: callers.IncomingRequest,
    refusal: Refusal,
    *,
    now: float,
    inputs: tuple[fx.LogInput, ...] = (),
) -> list[effects.Effect]:
    """Refuses a request that hasn't been sent to any upstream.

    Args:
        state: The router's state.
        request: The request.
        refusal: Why it is refused.
        now: Current time, in seconds.
        inputs: Further inputs of the decision, for the log.
    """
    retry_after_s = refusal.retry_after_s
    if (
        refusal.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        and retry_after_s is None
    ):
        retry_after_s = dispatch.draw_retry_after_s(state)
    current = state.active_configuration
    proof_age_s = state.proof.age(now=now)
    return [
        fx.LogDecision(
            decision="refused",
            request_id=request.attempt_id,
            reason=refusal.code.value,
            inputs=(
                ("status", int(refusal.status)),
                ("configuration", current.version if current else "none"),
                (
                    "proof_age_s",
                    "none" if proof_age_s is None else round(proof_age_s, 3),
                ),
                ("open", len(state.open_requests)),
                *inputs,
            ),
        ),
        fx.Count(f"refused.{refusal.code.value}"),
        effects.RefuseRequest(
            request_id=request.request_id,
            status=int(refusal.status),
            code=refusal.code.value,
            retry_after_s=retry_after_s,
        ),
    ]
