"""Executes the effects with which an entry calls the platform.

These are calls to the object API, the host list and the rating service, and
checks whether another entry still listens.
"""

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import events
from rhubarbbank_core import options
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import store
from rhubarbbank_runtime import hosts_http
from rhubarbbank_runtime import listener_check
from rhubarbbank_runtime import rating_http
from rhubarbbank_runtime import shell as shells
from rhubarbbank_runtime import store_http


class PlatformShell:
    """Calls the platform on behalf of an entry's shell.

    Attributes:
        settings: The entry's settings.
        shell: The entry's shell.
        store: Client of the object API.
        host_list: Reads the platform's host list.
    """

    def __init__(
        self, *, settings: options.EntrySettings, shell: shells.Shell
    ) -> None:
        self.settings = settings
        self.shell = shell
        self.store = store_http.StoreHttp(
            url=settings.store_url,
            session=shell.session,
            client=settings.name,
        )
        self.host_list = hosts_http.HostListReader(
            session=shell.session, url=settings.hosts_url
        )

    def open(self) -> None:
        """Registers effect handlers and starts polling the host list."""
        self.shell.handlers |= {
            store.StoreCall: self.start_store_call,
            fx.AskRating: self.start_rating_request,
            effects.AskListener: self.start_listener_check,
        }
        self.shell.timers.subscribe(
            period_s=defaults.HOST_LIST_PERIOD_S,
            callback=self.start_host_list_read,
        )

    def start_store_call(self, call: store.StoreCall) -> None:
        """Starts a task that calls the object API."""
        self.shell.spawn(self.run_store_call(call))

    async def run_store_call(self, call: store.StoreCall) -> None:
        """Calls the object API and applies its reply."""
        reply = await self.store.call(call)
        self.shell.apply(events.StoreReplied(reply))

    def start_host_list_read(self) -> None:
        """Starts a task that reads the host list."""
        self.shell.spawn(self.fetch_host_list())

    async def fetch_host_list(self) -> None:
        """Reads the host list and applies it if the read succeeded."""
        hosts = await self.host_list.read()
        if hosts is not None:
            self.shell.apply(events.HostsListed(hosts))

    def start_listener_check(self, effect: effects.AskListener) -> None:
        """Starts a task that checks an entry's listener."""
        self.shell.spawn(self.check_listener(effect))

    async def check_listener(self, effect: effects.AskListener) -> None:
        """Connects to an entry's address; applies an event if it refuses."""
        if await listener_check.is_refused(effect.address):
            self.shell.apply(
                events.ListenerRefused(
                    effect.name, effect.address, effect.asked_at
                )
            )

    def start_rating_request(self, effect: fx.AskRating) -> None:
        """Starts a task that asks the rating service for a rating."""
        self.shell.spawn(self.fetch_rating(effect))

    async def fetch_rating(self, effect: fx.AskRating) -> None:
        """Requests a rating and applies it; None if there is none."""
        rating = None
        if self.settings.rating_url:
            rating = await rating_http.request_rating(
                self.shell.session, self.settings.rating_url, effect
            )
        self.shell.apply(
            events.RatingReceived(effect.request_id, effect.attempt, rating)
        )
