"""A store that cuts waiting watches while a runner leaves: DRAIN."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import platform_harness as ph  # noqa: E402

KEY = "key-kumamoto"
WORK_S = 0.09
PERIOD_S = 0.02
DRAIN_S = 2.0
# How long the runner goes on serving after the store has dropped its entry.
SERVES_S = DRAIN_S + 2.5
# When the store cuts the watches that wait, from the start of the traffic.
CUTS_S = (4.0, 6.2)
LEAVES_AT_S = 4.8
ENDS_AT_S = 10.0
LEAVING = "i-order-1"


async def run(deployment: ph.Deployment) -> int:
    """Runs the case."""
    record, store = deployment.record, deployment.store
    store.put(
        "config",
        "main",
        spec=ph.build_configuration(7, keys={"kumamoto": [KEY]}),
    )
    for number in range(3):
        await deployment.add_runner(f"i-order-{number}", "orders", WORK_S)
    entry = await deployment.add_entry("front-kyushu-a-1")
    await entry.wait_ready()
    began_at = record.now()
    acknowledged_at = 0.0

    async def cut_watches() -> None:
        for at_s in CUTS_S:
            await asyncio.sleep(began_at + at_s - record.now())
            record.write(f"the store cuts {store.cut_watches()} watches")

    async def leave() -> None:
        nonlocal acknowledged_at
        await asyncio.sleep(began_at + LEAVES_AT_S - record.now())
        store.remove("servers", LEAVING)
        acknowledged_at = record.now()
        record.write(f"the store removes the entry of {LEAVING}")
        await asyncio.sleep(SERVES_S)
        deployment.runners[LEAVING].exit()

    tasks = [asyncio.create_task(leave())]
    if ph.TROUBLE:
        tasks.append(asyncio.create_task(cut_watches()))
    clients = []
    number = 0
    while record.now() < began_at + ENDS_AT_S:
        number += 1
        kind = "book" if number % 2 else "look"
        method = "POST" if number % 2 else "GET"
        clients.append(
            asyncio.create_task(
                ph.ask(
                    record,
                    entry.port,
                    f"{method} /{kind}/window-{number}",
                    ph.build_head(f"{kind}-{number}", key=KEY),
                    b"window" if number % 2 else b"",
                )
            )
        )
        await asyncio.sleep(PERIOD_S)
    outcomes = await asyncio.gather(*clients)
    await asyncio.gather(*tasks)
    late = [
        (at, attempt_id)
        for at, attempt_id in deployment.runners[LEAVING].arrivals
        if at > acknowledged_at + DRAIN_S
    ]
    for at, attempt_id in late:
        record.write(
            f"DRAIN {attempt_id} reached {LEAVING}"
            f" {at - acknowledged_at:.3f} s after the store had removed it"
        )
    unserved = sum(not x.served for x in outcomes)
    last_s = max((at for at, _ in late), default=0.0) - acknowledged_at
    summary = (
        f"{len(late)} requests reached {LEAVING} later than drain_ms"
        f" after its removal, the last {last_s:.2f} s after it;"
        f" {unserved} of {len(outcomes)} not served"
        if late
        else f"no request reached {LEAVING} too late;"
        f" {unserved} of {len(outcomes)} not served"
    )
    record.write(summary)
    print(summary)
    return ph.BROKEN if late else ph.HELD


ph.main(run, FOLDER, limit_s=60.0)
