"""Serves any number of stand-ins in one process, on their own ports.

Each stand-in has its own aiohttp application on 127.0.0.1. A handler is
cancelled when its caller disconnects, which is how the engine frees a slot.
An exit stack owns the servers.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import signal

import aiohttp.web

from rhubarbbank_standins import engine
from rhubarbbank_standins import hosts
from rhubarbbank_standins import object_api
from rhubarbbank_standins import rating
from rhubarbbank_standins import service
from rhubarbbank_standins import settings
from rhubarbbank_standins import web
from rhubarbbank_standins import weights

ADDRESS = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.2
BACKLOG = 1024
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def make_standin(configured: settings.StandinSettings) -> web.Standin:
    """Returns the stand-in that the settings describe."""
    match configured:
        case settings.ObjectApiSettings():
            return object_api.ObjectApi(configured=configured)
        case settings.EngineSettings():
            return engine.Engine(configured=configured)
        case settings.ServiceSettings():
            return service.Service(configured=configured)
        case settings.RatingSettings():
            return rating.Rating(configured=configured)
        case settings.WeightsSettings():
            return weights.Weights(configured=configured)
        case settings.HostsSettings():
            return hosts.Hosts(configured=configured)


async def start_standin(
    stack: contextlib.AsyncExitStack, configured: settings.StandinSettings
) -> web.Standin:
    """Serves one stand-in until the stack closes.

    Raises:
        OSError: If its port is taken.
    """
    standin = make_standin(configured)
    runner = aiohttp.web.AppRunner(
        standin.make_application(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = aiohttp.web.TCPSite(
        runner, ADDRESS, configured.port, backlog=BACKLOG
    )
    await site.start()
    return standin


async def serve(configured: Sequence[settings.StandinSettings]) -> None:
    """Serves stand-ins until a stop signal; prints `ready` before."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop(number: int, frame: object) -> None:
        del number, frame
        loop.call_soon_threadsafe(stopped.set)

    for number in STOP_SIGNALS:
        signal.signal(number, stop)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    async with contextlib.AsyncExitStack() as stack:
        for one in configured:
            await start_standin(stack, one)
        print("ready", flush=True)
        await stopped.wait()
    # The interpreter removes handlers before the process ends.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
