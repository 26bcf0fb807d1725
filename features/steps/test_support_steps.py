"""Steps on what the tests rely on themselves."""

import os
import threading

from behave import given
from behave import then
from support import descriptors

FILES_AT_ONCE = 50


@given("a pipe is held while files are opened and closed")
def hold_pipe(context):
    ends = os.pipe()
    for end in ends:
        context.add_cleanup(os.close, end)
    context.pipe = os.readlink(f"/proc/self/fd/{ends[0]}")
    over = threading.Event()
    thread = threading.Thread(target=open_and_close, args=(over,))
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(over.set)


def open_and_close(over):
    """Opens and closes files until it is over."""
    while not over.is_set():
        files = [os.open(os.devnull, os.O_RDONLY) for _ in range(FILES_AT_ONCE)]
        for each in files:
            os.close(each)


@then(
    "the descriptors are read {times:d} times, and the pipe is found each time"
)
def check_found(context, times):
    for _ in range(times):
        assert context.pipe in descriptors.list_targets(os.getpid())
