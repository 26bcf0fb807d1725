"""Steps for upstreams whose bytes have no end."""

import itertools

from behave import then
from behave import when
from support import router_world

PIECE_BYTES = 64 * 1024
MOST_PIECES = 1000
FRAMES = {
    "a body": b"x" * PIECE_BYTES,
    "a long event": b"data: " + b"x" * PIECE_BYTES,
    "comments": b": still here\n\n" * (PIECE_BYTES // 14),
    "its last event": router_world.build_event(1) * (PIECE_BYTES // 24),
}


@when("its upstream begins to answer and sends {what} without end")
def send_endless(context, what):
    world, request = context.world, context.request
    world.head(request, confidence=90)
    if what != "a body":
        world.stream(request, 1, 1)
    context.sent_bytes = 0
    numbers = itertools.count(2)
    for _ in range(MOST_PIECES):
        if 1 in world.cancelled_attempts(request):
            return
        frame = FRAMES.get(what) or build_new_events(numbers)
        world.data(request, frame)
        context.sent_bytes += len(frame)


def build_new_events(numbers):
    """Returns events with the next numbers, about as long as a piece."""
    return b"".join(
        router_world.build_event(number)
        for number in itertools.islice(numbers, PIECE_BYTES // 24)
    )


@then("it is broken off before {most:g} MB have come")
def check_broken_off(context, most):
    assert 1 in context.world.cancelled_attempts(context.request)
    assert context.sent_bytes <= most * 1e6, context.sent_bytes


@when("it sends a comment each {pause:g} s for {duration:g} s")
def send_comments(context, pause, duration):
    world, request = context.world, context.request
    for _ in range(round(duration / pause)):
        if len(world.sent(request)) == 1:
            world.data(request, b": still here\n\n")
        world.run(pause)
        world.configure(world.state.active_configuration)


@when("its upstream answers with a body of {size:g} MB")
def answer_long(context, size):
    world, request = context.world, context.request
    world.head(request)
    context.sent_bytes = round(size * 1e6) // PIECE_BYTES * PIECE_BYTES
    for _ in range(context.sent_bytes // PIECE_BYTES):
        world.data(request, b"x" * PIECE_BYTES)
    world.end(request)


@then("the caller has all of it")
def check_whole(context):
    (answer,) = context.world.answers(context.request)
    assert answer.status == 200, answer.status
    assert len(answer.body) == context.sent_bytes
