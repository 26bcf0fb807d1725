"""HTTP status, JSON body and Retry-After header of a problem."""

import http
import math

import msgspec

from rhubarbbank_core import errors

STATUS = http.HTTPStatus

STATUS_BY_CODE = {
    errors.ErrorCode.BAD_REQUEST: STATUS.BAD_REQUEST,
    errors.ErrorCode.BODY_TOO_LARGE: STATUS.REQUEST_ENTITY_TOO_LARGE,
    errors.ErrorCode.UNKNOWN_ORGANISATION: STATUS.FORBIDDEN,
    errors.ErrorCode.MODEL_NOT_ALLOWED: STATUS.FORBIDDEN,
    errors.ErrorCode.VERSION_WITHDRAWN: STATUS.GONE,
    errors.ErrorCode.SESSION_VERSION_WITHDRAWN: STATUS.GONE,
    errors.ErrorCode.ALLOWANCE_EXHAUSTED: STATUS.TOO_MANY_REQUESTS,
    errors.ErrorCode.ALLOWANCE_UNAVAILABLE: STATUS.SERVICE_UNAVAILABLE,
    errors.ErrorCode.OVERLOADED: STATUS.TOO_MANY_REQUESTS,
    errors.ErrorCode.DEADLINE_UNREACHABLE: STATUS.TOO_MANY_REQUESTS,
    errors.ErrorCode.DEADLINE_EXCEEDED: STATUS.GATEWAY_TIMEOUT,
    errors.ErrorCode.UPSTREAM_FAILED: STATUS.BAD_GATEWAY,
    errors.ErrorCode.UPSTREAM_LOST: STATUS.BAD_GATEWAY,
    errors.ErrorCode.CRASH_SUSPECT: STATUS.UNPROCESSABLE_ENTITY,
    errors.ErrorCode.KEY_ALREADY_USED: STATUS.CONFLICT,
    errors.ErrorCode.NOT_FOUND: STATUS.NOT_FOUND,
}


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """The error object that a caller receives.

    Attributes:
        code: The error code, independent of the message's language.
        type: Same as `code`; widely used clients read this field.
        message: Description of the error.
        remedy: How to fix it.
        run_state: `not_run`, `unknown` or `ran`.
        retry_after_s: Seconds after which a retry may succeed, or null.
    """

    code: str
    type: str
    message: str
    remedy: str
    run_state: str
    retry_after_s: float | None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorDetail


def get_status(problem: errors.Problem) -> int:
    """Returns the problem's HTTP status."""
    return int(STATUS_BY_CODE.get(problem.code, STATUS.SERVICE_UNAVAILABLE))


def build_body(problem: errors.Problem, *, message: str, remedy: str) -> bytes:
    """Returns the JSON body of the problem."""
    detail = ErrorDetail(
        code=problem.code,
        type=problem.code,
        message=f"{message} {problem.detail}".strip(),
        remedy=remedy,
        run_state=problem.run_state,
        retry_after_s=problem.retry_after_s,
    )
    return msgspec.json.encode(ErrorBody(detail))


def format_retry_after(problem: errors.Problem) -> str | None:
    """Returns the value of the Retry-After header in whole seconds, or None."""
    if problem.retry_after_s is None:
        return None
    return str(max(1, math.ceil(problem.retry_after_s)))
