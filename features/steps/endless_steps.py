"""Steps for upstreams that send endless answers to the router."""

import itertools

from behave import then
from behave import when
from support import router_world

CHUNK_BYTES = 64 * 1024
MAX_CHUNKS = 1000
CHUNKS = {
    "a body": b"x" * CHUNK_BYTES,
    "a long event": b"data: " + b"x" * CHUNK_BYTES,
    "comments": b": still here\n\n" * (CHUNK_BYTES // 14),
    "the same event again": router_world.build_event(1) * (CHUNK_BYTES // 24),
}


@when("the upstream starts its answer and sends {what} without end")
def send_endless(context, what):
    world, request = context.world, context.request
    world.head(request, confidence=90)
    if what != "a body":
        world.stream(request, 1, 1)
    context.sent_bytes = 0
    numbers = itertools.count(2)
    for _ in range(MAX_CHUNKS):
        if 1 in world.cancelled_attempts(request):
            return
        chunk = CHUNKS.get(what) or build_new_events(numbers)
        world.data(request, chunk)
        context.sent_bytes += len(chunk)


def build_new_events(numbers):
    """Returns events with the next numbers, about `CHUNK_BYTES` in all."""
    return b"".join(
        router_world.build_event(number)
        for number in itertools.islice(numbers, CHUNK_BYTES // 24)
    )


@then("the router cancels the attempt before it gets {most:g} MB")
def check_cancelled(context, most):
    assert 1 in context.world.cancelled_attempts(context.request)
    assert context.sent_bytes <= most * 1e6, context.sent_bytes


@when("the upstream sends a comment every {pause:g} s for {duration:g} s")
def send_comments(context, pause, duration):
    world, request = context.world, context.request
    for _ in range(round(duration / pause)):
        if len(world.sent(request)) == 1:
            world.data(request, b": still here\n\n")
        world.run(pause)
        world.configure(world.state.active_configuration)


@when("the upstream answers with a body of {size:g} MB")
def answer_long(context, size):
    world, request = context.world, context.request
    world.head(request)
    context.sent_bytes = round(size * 1e6) // CHUNK_BYTES * CHUNK_BYTES
    for _ in range(context.sent_bytes // CHUNK_BYTES):
        world.data(request, b"x" * CHUNK_BYTES)
    world.end(request)


@then("the caller has the whole body")
def check_whole(context):
    (answer,) = context.world.answers(context.request)
    assert answer.status == 200, answer.status
    assert len(answer.body) == context.sent_bytes
