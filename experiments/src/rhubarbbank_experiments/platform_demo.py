"""The demo of entries on the users' platform.

Two entries as processes, stand-ins of store and runners: requests of each
kind, a runner that breaks off, a key that is taken away, a graceful stop.
"""

import http

from rhubarbbank_experiments import platform_fleet

STOP_WAIT_S = 8.0


def show(title: str, reply: platform_fleet.Reply) -> None:
    """Prints one answer."""
    signature = reply.headers.get("x-response-stamp", "the entry itself")
    last = reply.body.strip().splitlines()[-1:] or [b""]
    text = last[0].decode("utf-8", "replace")[:60]
    print(f"  {title}: {reply.status} from {signature}: {text}")


def explain(running: platform_fleet.PlatformFleet, path: str) -> None:
    """Prints the log lines on the last request for a path."""
    run = running.list_runs(path)[-1]
    for line in running.entries[0].read_log():
        if line.get("request_id") == run.attempt_id:
            print(f"    {line['decision']}: {line['reason']} {line['inputs']}")


def main() -> bool:
    """Runs the demo; returns whether all went as it should."""
    print("on the users' platform: 2 entries, 3 model runners, 3 services")
    with platform_fleet.PlatformFleet(entries=2) as running:
        easy = running.ask("/chat/easy")
        show("an easy chat", easy)
        hard = running.ask("/chat/hard")
        show("a hard chat", hard)
        explain(running, "/chat/hard")
        booked = running.ask("/book/court-2", body=b'{"court": 2}')
        show("a booking", booked)
        running.misbehave("cut", service=platform_fleet.BOOKINGS, count=1)
        looked = running.ask("/look/court-2")
        show("a look-up whose runner broke off", looked)
        explain(running, "/look/court-2")
        running.misbehave("none")
        running.configure(2, keys=("key-new",))
        running.wait_until(
            lambda: (
                running.ask("/look/x").status == http.HTTPStatus.UNAUTHORIZED
            ),
            "the key is refused",
        )
        print("  the key was taken away: 401 at entry 0")
        running.stop(0)
        code = running.entries[0].process.wait(STOP_WAIT_S)
        print(f"  entry 0 stopped with code {code}")
    whole = [easy, hard, booked, looked]
    return code == 0 and all(
        reply.status == http.HTTPStatus.OK for reply in whole
    )
