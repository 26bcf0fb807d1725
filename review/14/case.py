"""Sends SIGHUP to entries that are starting, and counts those that end."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

import fleet  # noqa: E402
import stand_ins  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 2
CHANGES = 4
# The platform starts a process that has ended again after this time.
RESTART_DELAY_S = 1.2
# From the start of a process until its settings file changes.
CHANGE_DELAY_S = 0.1
# Ends within this time of planned work or a disruption aren't counted.
EXCUSED_S = 1.0
MAX_ENDS = 2


async def respond(
    runner: stand_ins.Runner, run: stand_ins.Run, writer: asyncio.StreamWriter
) -> bool:
    """Answers a request at once."""
    head = runner.build_headers(run) | {"Content-Length": "2"}
    writer.write(stand_ins.build_head(200, head) + b"ok")
    return True


async def wait_end(entry: fleet.Entry) -> int:
    """Waits for the end of a process; returns its exit code."""
    while entry.is_running():
        await asyncio.sleep(0.02)
    return entry.process.returncode


async def change_settings(
    entry: fleet.Entry, record: list[str], started_at: float
) -> int:
    """Restarts an entry as planned, then changes its settings a few times.

    Returns how often it ended by itself.
    """
    entry.send_signal(signal.SIGTERM)
    record.append(f"{entry.name}: SIGTERM")
    code = await wait_end(entry)
    excused_until = time.monotonic() + EXCUSED_S
    record.append(f"{entry.name}: exit code {code}")
    await asyncio.sleep(RESTART_DELAY_S)
    entry.start()
    ends = 0
    for number in range(1, CHANGES + 1):
        await asyncio.sleep(CHANGE_DELAY_S)
        # The new file has the same bounds; only its time differs.
        text = entry.settings_path.read_text(encoding="utf-8")
        entry.settings_path.write_text(text + "\n", encoding="utf-8")
        if WITH_TROUBLE:
            entry.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        at = time.monotonic()
        if entry.is_running():
            record.append(
                f"{at - started_at:.2f} {entry.name}: change {number}: runs"
            )
            await entry.wait_ready()
            continue
        code = entry.process.returncode
        counts = at > excused_until
        ends += counts
        record.append(
            f"{at - started_at:.2f} {entry.name}: change {number}: ended with"
            f" {code}{'' if counts else ' (excused)'}"
        )
        await asyncio.sleep(RESTART_DELAY_S)
        entry.start()
    await entry.wait_ready()
    return ends


async def run() -> int:
    """Runs the case; returns the exit code."""
    record: list[str] = []
    started = fleet.Fleet()
    try:
        for number in range(2):
            await started.add_runner(f"b-{number}", fleet.BOOKINGS, respond)
        await started.open(
            entries=ENTRIES, configuration=fleet.build_configuration(1)
        )
        started_at = time.monotonic()
        ends = [
            await change_settings(entry, record, started_at)
            for entry in started.entries
        ]
        record.append(f"ends by themselves, by entry: {ends}")
    finally:
        await started.close()
        text = "\n".join(record) + "\n"
        (FOLDER / "record.txt").write_text(text, encoding="utf-8")
        print(text, end="")
    return BROKEN if all(count > MAX_ENDS for count in ends) else HELD


def main() -> int:
    """Runs the case within its time."""
    try:
        return asyncio.run(asyncio.wait_for(run(), 100.0))
    except (OSError, RuntimeError, TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
