"""Reads what a process holds open while it goes on opening and closing."""

import pathlib


def list_targets(pid):
    """Returns what each open descriptor of a process leads to.

    One that is closed between listing and reading isn't held any more.
    """
    targets = []
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            targets.append(str(link.readlink()))
        except FileNotFoundError:
            continue
    return targets
