"""The gate: may this organisation run this version now?

Entry and sidecar ask the same question with the table they have, the sidecar
once more just before it hands work to its upstream.
"""

from rhubarbbank_core import errors
from rhubarbbank_core import requests
from rhubarbbank_core import table

HELD = "held"
OPERATOR_RETRY_AFTER_S = 30.0


def check(
    *,
    rows: table.Table,
    organisation: str,
    key: table.VersionKey,
    pinned: bool,
) -> errors.Problem | None:
    """Returns why the version must not run, or None if it may.

    Args:
        rows: The table to judge by.
        organisation: The customer.
        key: The version.
        pinned: Whether the request belongs to a session that has this
            version, which draining and held versions still serve.
    """
    if organisation not in rows.by_organisation:
        return errors.Problem(
            code=errors.ErrorCode.UNKNOWN_ORGANISATION, detail=organisation
        )
    row = rows.find(organisation, key)
    if row is None:
        return errors.Problem(
            code=errors.ErrorCode.MODEL_NOT_ALLOWED, detail=str(key)
        )
    if row.state is table.VersionState.WITHDRAWN:
        code = errors.ErrorCode.VERSION_WITHDRAWN
        if pinned:
            code = errors.ErrorCode.SESSION_VERSION_WITHDRAWN
        return errors.Problem(code=code, detail=str(key))
    if pinned:
        return None
    if row.state is table.VersionState.DRAINING or row.status == HELD:
        return errors.Problem(
            code=errors.ErrorCode.VERSION_WITHDRAWN,
            detail=f"{key} takes no new work",
            retry_after_s=OPERATOR_RETRY_AFTER_S,
        )
    return None


def explain_no_offer(
    rows: table.Table, request: requests.CallerRequest
) -> errors.Problem:
    """Returns why no row offers itself to a request without a version.

    A caller that names a version is told what has become of that version.
    """
    model, _, version = request.model.partition("@")
    problem = check(
        rows=rows,
        organisation=request.organisation,
        key=table.VersionKey(model, version),
        pinned=False,
    )
    if (
        problem is not None
        and problem.code is errors.ErrorCode.VERSION_WITHDRAWN
    ):
        return problem
    return errors.Problem(
        code=errors.ErrorCode.MODEL_NOT_ALLOWED,
        detail=f"{request.model} for class {request.request_class}",
    )
