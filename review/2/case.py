"""A grey runner that runs a booking and answers 503: REFUSED."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import platform_harness as ph  # noqa: E402

KEY = "key-kumamoto"
WORK_S = 0.06
PERIOD_S = 0.05
BOOKINGS = 120
GREY = "i-order-1"
# Of each five requests, the grey runner fails two (x 0.4).
GREY_OF_FIVE = 2
# What clients take as a promise that the request has not run.
PROMISES = (408, 421, 429, 503)


class GreyRunner(ph.Runner):
    """Fails a part of what it has run with 503, as an application does."""

    async def work(
        self, request: ph.Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Runs a request; returns its answer, or a failure."""
        answer = await super().work(request, reader)
        if not ph.TROUBLE or len(self.runs) % 5 >= GREY_OF_FIVE:
            return answer
        attempt_id = request.headers["x-attempt-id"]
        self.record.write(f"{self.name} ran {attempt_id}, and answers 503")
        return ph.build_message(
            "HTTP/1.1 503 Service Unavailable",
            {
                "X-Attempt-Id": attempt_id,
                "X-Response-Stamp": f"stamp.{self.name}.{attempt_id}",
            },
            b"the payment is booked, its receipt failed",
        )


async def book(record: ph.Record, port: int, number: int) -> list[ph.Outcome]:
    """Books once; a promise that it has not run is tried once more."""
    outcomes: list[ph.Outcome] = []
    for attempt in ("a", "b"):
        outcomes.append(
            await ph.ask(
                record,
                port,
                f"POST /book/window-{number}",
                ph.build_head(f"booking-{number}{attempt}", key=KEY),
                f"window {number}".encode(),
            )
        )
        if outcomes[-1].status not in PROMISES:
            break
    return outcomes


async def run(deployment: ph.Deployment) -> int:
    """Runs the case."""
    record, store = deployment.record, deployment.store
    store.put(
        "config",
        "main",
        spec=ph.build_configuration(7, keys={"kumamoto": [KEY]}),
    )
    for number in range(3):
        name = f"i-order-{number}"
        kind = GreyRunner if name == GREY else ph.Runner
        runner = kind(name, record, work_s=WORK_S)
        await runner.start()
        deployment.runners[name] = runner
        deployment.register(name, "orders")
    entry = await deployment.add_entry("front-kyushu-a-1")
    await entry.wait_ready()
    clients = []
    for number in range(BOOKINGS):
        clients.append(asyncio.create_task(book(record, entry.port, number)))
        await asyncio.sleep(PERIOD_S)
    found = await asyncio.gather(*clients)
    ran = {run.attempt_id for run in deployment.list_runs()}
    refused = [
        each
        for outcomes in found
        for each in outcomes
        if each.status in PROMISES and each.attempt_id in ran
    ]
    for each in refused:
        record.write(f"REFUSED {each.attempt_id} ran, and got {each.status}")
    twice = sum(
        sum(each.attempt_id in ran for each in outcomes) > 1
        for outcomes in found
    )
    summary = (
        f"{len(refused)} bookings were answered 503 and had run; {twice} of"
        f" {BOOKINGS} were booked twice, as the client tried once more"
    )
    record.write(summary)
    print(summary)
    if not ran:
        return ph.COULD_NOT_RUN
    return ph.BROKEN if refused else ph.HELD


ph.main(run, FOLDER, limit_s=80.0)
