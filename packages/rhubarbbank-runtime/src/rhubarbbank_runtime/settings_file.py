"""Reads and validates a program's settings file."""

from collections.abc import Callable
import hashlib
import pathlib
from typing import Generic
from typing import TypeVar

from rhubarbbank_core import errors
from rhubarbbank_core import options

Settings = TypeVar("Settings")
DIGEST_DIGITS = 12


class SettingsFile(Generic[Settings]):
    """A settings file that may change while the program runs.

    Attributes:
        path: The path of the file.
        parse: Returns the settings in a text, or all faults in them.
        last_text: The text that was read last, valid or not; None if the file
            couldn't be read.
    """

    def __init__(
        self,
        *,
        path: str,
        parse: Callable[[bytes], Settings | list[options.SettingsFault]],
    ) -> None:
        self.path = path
        self.parse = parse
        self.last_text: bytes | None = None

    @property
    def digest(self) -> str:
        """The first digits of the SHA-256 digest of the text read last."""
        return hashlib.sha256(self.last_text or b"").hexdigest()[:DIGEST_DIGITS]

    def read(self) -> Settings:
        """Returns the settings.

        Raises:
            errors.RhubarbbankError: The file can't be read or is invalid; the
                message lists all faults.
        """
        self.last_text = None
        self.last_text = read_text(self.path)
        return self.check(self.last_text)

    def read_change(self) -> Settings | None:
        """Returns the settings if the text has changed since it was read last.

        An invalid text is reported once, and is read as a change again when it
        has been corrected.

        Raises:
            errors.RhubarbbankError: The file can't be read or is invalid; the
                message lists all faults.
        """
        text = read_text(self.path)
        if text == self.last_text:
            return None
        self.last_text = text
        return self.check(text)

    def check(self, text: bytes) -> Settings:
        """Returns the settings in a text; raises an error if it is invalid."""
        parsed = self.parse(text)
        if isinstance(parsed, list):
            raise build_settings_error("\n".join(map(str, parsed)))
        return parsed


def read_settings(
    path: str, settings_type: type[options.AnySettings]
) -> options.AnySettings:
    """Returns the validated settings.

    Raises:
        errors.RhubarbbankError: The file can't be read or is invalid; the
            message lists all faults.
    """
    text = read_text(path)
    checked = options.check_settings(text, settings_type)
    if isinstance(checked, list):
        raise build_settings_error("\n".join(str(fault) for fault in checked))
    return checked


def read_text(path: str) -> bytes:
    """Returns the text of a settings file.

    Raises:
        errors.RhubarbbankError: The file can't be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        detail = f"{path or 'no path'}: {error.strerror}."
        raise build_settings_error(detail) from error


def build_settings_error(detail: str) -> errors.RhubarbbankError:
    """Returns the error for an unreadable or invalid settings file."""
    problem = errors.Problem(code=errors.ErrorCode.BAD_SETTINGS, detail=detail)
    return errors.RhubarbbankError(
        problem=problem, remedy="Correct the settings file and start again."
    )
