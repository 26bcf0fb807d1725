"""Reads and validates a program's settings file."""

import pathlib

from rhubarbbank_core import errors
from rhubarbbank_core import options


def read_settings(
    path: str, settings_type: type[options.AnySettings]
) -> options.AnySettings:
    """Returns the validated settings.

    Raises:
        errors.RhubarbbankError: The file can't be read or is invalid; the
            message lists all faults.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise build_settings_error(f"{path}: {error.strerror}.") from error
    checked = options.check_settings(text, settings_type)
    if isinstance(checked, list):
        raise build_settings_error("\n".join(str(fault) for fault in checked))
    return checked


def build_settings_error(detail: str) -> errors.RhubarbbankError:
    """Returns the error for an unreadable or invalid settings file."""
    problem = errors.Problem(code=errors.ErrorCode.BAD_SETTINGS, detail=detail)
    return errors.RhubarbbankError(
        problem=problem, remedy="Correct the settings file and start again."
    )
