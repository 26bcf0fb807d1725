"""Carries out an entry's calls to the platform: object API, hosts, ratings."""

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
    """The platform as an entry's shell sees it.

    Attributes:
        settings: The entry's settings.
        shell: The entry's shell.
        store: The object API.
        host_list: The platform's list of hosts.
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
        """Registers handlers and starts to read the host list."""
        self.shell.handlers |= {
            store.StoreCall: self.call_store,
            fx.AskRating: self.ask_rating,
            effects.AskListener: self.ask_listener,
        }
        self.shell.timers.subscribe(
            period_s=defaults.HOST_LIST_PERIOD_S, callback=self.read_hosts
        )

    def call_store(self, call: store.StoreCall) -> None:
        """Begins a call to the object API."""
        self.shell.spawn(self.run_store_call(call))

    async def run_store_call(self, call: store.StoreCall) -> None:
        """Carries out a call to the object API and reports its end."""
        reply = await self.store.call(call)
        self.shell.apply(events.StoreReplied(reply))

    def read_hosts(self) -> None:
        """Begins to read the host list."""
        self.shell.spawn(self.fetch_host_list())

    async def fetch_host_list(self) -> None:
        """Reads the host list and reports it, if it could be read."""
        hosts = await self.host_list.read()
        if hosts is not None:
            self.shell.apply(events.HostsListed(hosts))

    def ask_listener(self, effect: effects.AskListener) -> None:
        """Begins to try an entry's address."""
        self.shell.spawn(self.check_listener(effect))

    async def check_listener(self, effect: effects.AskListener) -> None:
        """Tries an entry's address and reports if it refuses."""
        if await listener_check.is_refused(effect.address):
            self.shell.apply(
                events.ListenerRefused(
                    effect.name, effect.address, effect.asked_at
                )
            )

    def ask_rating(self, effect: fx.AskRating) -> None:
        """Begins to ask the rating service."""
        self.shell.spawn(self.fetch_rating(effect))

    async def fetch_rating(self, effect: fx.AskRating) -> None:
        """Asks the rating service and reports its answer."""
        rating = None
        if self.settings.rating_url:
            rating = await rating_http.request_rating(
                self.shell.session, self.settings.rating_url, effect
            )
        self.shell.apply(
            events.RatingReceived(effect.request_id, effect.attempt, rating)
        )
