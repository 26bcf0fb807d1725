"""Steps for requests that crash each upstream that runs them."""

import time

from behave import given
from behave import then
from behave import when
from support import caller_threads
from support import fleets
from support import harm

ENTRIES = 3
SLOW_FACTOR = 4.0
DEADLINE_S = 60.0
TENTH = 0.1


def count_crashes(context):
    counts = fleets.read_counts(context.fleet, "engine")
    return sum(x["crashes"] for x in counts)


def send_poison(context, number):
    return caller_threads.stream(
        harm.find_entry(context.fleet, number), f"Eat {context.word}."
    )


@given('every engine crashes over a request with the word "{word}"')
def set_crash_word(context, word):
    context.word = word
    context.before = count_crashes(context)
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(
        context.fleet, "engine", crash_on=word, slow_factor=SLOW_FACTOR
    )


@when("{count:d} innocent callers stream slow chats from all entries")
def stream_innocents(context, count):
    word = f"{time.monotonic_ns():x}"
    context.innocents = [
        caller_threads.stream(
            harm.find_entry(context.fleet, number % ENTRIES),
            f"How do I book court {number}? {word}",
        )
        for number in range(count)
    ]
    caller_threads.wait_for_pieces(context.innocents, 3)


@when('a caller sends the word "{word}" to entry {number:d}')
def send_word(context, word, number):
    context.crashing = send_poison(context, number).join()


@when('callers send the word "{word}" to every entry one after another')
def send_to_all(context, word):
    for number in range(ENTRIES):
        send_poison(context, number).join()


@then("the crashing request is refused and may have run")
def check_refused(context):
    harm.check_refused(
        context.crashing, code="crash_suspect", run_state="unknown"
    )


@then("its repeats at every entry are refused at once as crash suspects")
def check_repeats(context):
    for number in range(ENTRIES):
        again = send_poison(context, number).join()
        harm.check_refused(again, code="crash_suspect", run_state="not_run")
        assert again.took_s < DEADLINE_S * TENTH, again.took_s
        harm.check_not_run(context.fleet, [again])


@then("at most {most:d} engines have crashed")
def check_crashes(context, most):
    crashes = count_crashes(context) - context.before
    assert 1 <= crashes <= most, crashes


@then("each innocent stream is whole")
def check_innocents(context):
    caller_threads.join_all(context.innocents)
    harm.check_whole(context.fleet, context.innocents)
