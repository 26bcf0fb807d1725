"""Applies changes of a settings file while the program runs.

The file may change without a signal, before the program receives signals, or
in several writes. It is therefore read periodically too; a signal only makes
the next reading come sooner.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import Generic

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import settings_file
from rhubarbbank_runtime import timers

LOG = logging.getLogger(__name__)
CHECK_PERIOD_S = 1.0
# Signals that arrive within this time of each other share one reading.
SIGNAL_DELAY_S = 0.1


class SettingsWatch(Generic[settings_file.Settings]):
    """Reads a settings file periodically and on request.

    Attributes:
        file: The settings file.
        apply: Applies new settings and returns what it logs about them.
        loop: The event loop.
        requested: The scheduled reading that was requested, if any.
        last_refusal: Why the last reading was refused; empty if it wasn't.
    """

    def __init__(
        self,
        *,
        file: settings_file.SettingsFile[settings_file.Settings],
        apply: Callable[[settings_file.Settings], fx.LogDecision],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.file = file
        self.apply = apply
        self.loop = loop
        self.requested: asyncio.TimerHandle | None = None
        self.last_refusal = ""

    def open(self, timer_service: timers.TimerService) -> None:
        """Reads the file now, and periodically from now on."""
        timer_service.subscribe(period_s=CHECK_PERIOD_S, callback=self.check)

    def close(self) -> None:
        """Cancels a reading that was requested."""
        if self.requested is not None:
            self.requested.cancel()
            self.requested = None

    def request(self, age_s: float) -> None:
        """Reads the file soon, because of a signal.

        Args:
            age_s: Seconds since the signal arrived.
        """
        if self.requested is None:
            delay_s = max(0.0, SIGNAL_DELAY_S - age_s)
            self.requested = self.loop.call_later(delay_s, self.check_requested)

    def check_requested(self) -> None:
        """Reads the file because of a signal."""
        self.requested = None
        self.check()

    def check(self) -> None:
        """Reads the file, and applies its settings if they have changed."""
        try:
            changed = self.file.read_change()
            if changed is not None:
                logs.write_decision(self.apply(changed))
        except errors.RhubarbbankError as error:
            self.refuse(str(error))
        except Exception as error:
            # No later change may remain unread, whatever is wrong with this.
            LOG.exception("changed settings can't be applied")
            self.refuse(repr(error))
        else:
            self.last_refusal = ""

    def refuse(self, reason: str) -> None:
        """Logs why the file is refused, once for readings in a row."""
        if reason == self.last_refusal:
            return
        self.last_refusal = reason
        logs.write_decision(
            fx.LogDecision(decision="reload_refused", reason=reason)
        )
