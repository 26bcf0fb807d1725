"""Writes what a measurement found, with where and how it was run."""

import datetime as dt
import os
import pathlib
import platform

import msgspec


def describe_machine() -> dict[str, object]:
    """Returns what bears on figures: cores, load and versions."""
    return {
        "cores": os.cpu_count(),
        "load_average": [round(x, 2) for x in os.getloadavg()],
        "python": platform.python_version(),
        "system": platform.system(),
        "at": dt.datetime.now(dt.UTC).isoformat(timespec="seconds"),
    }


def write_report(
    path: pathlib.Path, *, command: str, settings: object, result: object
) -> None:
    """Writes a report as indented JSON."""
    report = {
        "command": command,
        "machine": describe_machine(),
        "settings": settings,
        "result": result,
    }
    encoded = msgspec.json.format(
        msgspec.json.encode(report, enc_hook=str), indent=1
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(encoded + b"\n")
