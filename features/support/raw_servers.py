"""Helpers for steps that test single HTTP exchanges."""

from rhubarbbank_router import effects

LOCALHOST = "127.0.0.1"


def build_send_attempt(*, port):
    """Returns the effect that sends an attempt to a port of this machine."""
    return effects.SendAttempt(
        request_id="a1",
        attempt=1,
        attempt_id="a1",
        upstream_id="i",
        address=f"{LOCALHOST}:{port}",
        method="GET",
        target="/",
        host="h",
        headers=(),
        body=b"",
        time_left_s=2.0,
        organisation="",
        model="",
        priority=1,
        resume_after="",
        streamed=False,
        connect_timeout_s=1.0,
    )
