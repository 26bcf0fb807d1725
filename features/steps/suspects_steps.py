"""Steps for what entries know of requests that crash upstreams."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import suspect_messages
from rhubarbbank_core import suspects

Level = suspect_messages.SuspicionLevel
FINGERPRINTS = (1, 2)


@given("an entry's suspects know one crash of fingerprint {number:d}")
def know_crash(context, number):
    context.suspects = suspects.Suspects()
    context.first = context.suspects.note_crash(number, incident="engine-0/1")


@when("the request with fingerprint {number:d} has cost two upstreams")
def lose_second(context, number):
    notice = context.suspects.convict(number)
    assert notice is not None
    assert notice.level is Level.CONVICTED


@then("the entry's suspects call fingerprint {number:d} convicted")
def check_convicted(context, number):
    assert context.suspects.find(number).level is Level.CONVICTED


@then("a late notice of suspicion does not clear fingerprint {number:d}")
def check_late(context, number):
    context.suspects.take_notice(context.first)
    assert context.suspects.find(number).level is Level.CONVICTED


@then("entries agree on suspects after {count:d} random orders of notices")
def check_orders(context, count):
    crash = strategies.tuples(
        strategies.sampled_from(FINGERPRINTS),
        strategies.sampled_from(("a/1", "b/1", "b/2")),
    )

    @trials.repeat(count)
    @hypothesis.given(
        strategies.lists(crash, min_size=1, max_size=6), strategies.randoms()
    )
    def check(crashes, rng):
        entries = [suspects.Suspects() for _ in range(3)]
        notices = []
        for fingerprint, incident in crashes:
            seen_by = rng.choice(entries)
            notice = seen_by.note_crash(fingerprint, incident=incident)
            if notice is not None:
                notices.append(notice)
        for entry in entries:
            order = notices * 2
            rng.shuffle(order)
            for notice in order:
                entry.take_notice(notice)
        for fingerprint in FINGERPRINTS:
            levels = {x.find(fingerprint).level for x in entries}
            assert len(levels) == 1, levels
            incidents = {i for f, i in crashes if f == fingerprint}
            if len(incidents) > 1:
                assert levels == {Level.CONVICTED}

    check()
