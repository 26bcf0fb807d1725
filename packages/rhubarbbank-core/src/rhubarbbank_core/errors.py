"""Error codes, run states and the typed error that carries them.

Every error that a caller, an operator or another process sees has one
`ErrorCode` and one `RunState`. The translated messages are in `texts.py`. This
module imports no other module of the package, so any module can import it.
"""

import dataclasses
import enum


class RunState(enum.StrEnum):
    """Whether the request that failed ran at an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorCode(enum.StrEnum):
    """The kind of an error, independent of the message's language."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    VERSION_WITHDRAWN = "version_withdrawn"
    SESSION_VERSION_WITHDRAWN = "session_version_withdrawn"
    SESSION_STATE_UNAVAILABLE = "session_state_unavailable"
    ALLOWANCE_EXHAUSTED = "allowance_exhausted"
    ALLOWANCE_UNAVAILABLE = "allowance_unavailable"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LOST = "upstream_lost"
    CRASH_SUSPECT = "crash_suspect"
    TABLE_NOT_CONFIRMED = "table_not_confirmed"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_ALREADY_USED = "key_already_used"
    SHUTTING_DOWN = "shutting_down"
    EDIT_CONFLICT = "edit_conflict"
    BAD_CELL = "bad_cell"
    BAD_SETTINGS = "bad_settings"
    STALE_ORDER = "stale_order"
    NOT_FOUND = "not_found"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """The data of one error.

    Attributes:
        code: The kind of the error.
        run_state: Whether the request ran at an upstream.
        detail: Details such as a name or a value; may be empty.
        retry_after_s: Seconds after which a retry may succeed; None if a
            retry does not help.
    """

    code: ErrorCode
    run_state: RunState = RunState.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None


class RhubarbbankError(Exception):
    """Carries a problem as an exception, where no effect can report it.

    Attributes:
        problem: The problem, with its code and run state.
        remedy: How the reader can fix it, as one sentence.
    """

    def __init__(self, *, problem: Problem, remedy: str) -> None:
        super().__init__(f"{problem.code}: {problem.detail} {remedy}".strip())
        self.problem = problem
        self.remedy = remedy
