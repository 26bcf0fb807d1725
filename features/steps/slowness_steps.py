"""Steps for what counts as a slow answer of a version."""

from behave import then
from behave import when

from rhubarbbank_core import effects
from rhubarbbank_core import events
from rhubarbbank_core import path_messages

OK = 200


@when(
    "its first event comes after {late:g} s, "
    "of which it waited {waited:g} s for a place"
)
def answer_late(context, late, waited):
    bench = context.bench
    (opened,) = bench.reducer.state.open.values()
    context.key = opened.row.key
    names = {"request_id": opened.request.request_id, "attempt": 1}
    bench.now += late
    bench.deliver(path_messages.Chunk(**names, first_event=0, events=(b"{}",)))
    bench.deliver(
        path_messages.Done(
            **names,
            end_event=1,
            status=OK,
            content_type="",
            prompt_tokens=1,
            completion_tokens=1,
            load=path_messages.Load(),
            waited_s=waited,
        )
    )


@then("the entry has counted {count:d} slow answers")
def check_slow(context, count):
    found = context.bench.reducer.state.evidence.find(context.key)
    assert (found.requests, found.slow) == (1, count), found


@when("the engine of the order sidecar has no second place")
def fill_engine(context):
    load = path_messages.Load(running=1, waiting=0, max_batch=1)
    observed = events.UpstreamObserved(True, load, ["kurz@v1"])
    context.effects = context.reducer.step(now=0.5, event=observed)


@when("the other request of the order sidecar ends")
def end_other(context):
    ended = events.UpstreamEnded(
        request_id="r2", attempt=1, end=events.UpstreamEnd.COMPLETE, status=OK
    )
    context.effects = context.reducer.step(now=3.0, event=ended)


@then("the order sidecar has told that the other request waited {waited:g} s")
def check_told(context, waited):
    (done,) = [
        x.message
        for x in context.effects
        if isinstance(x, effects.Send)
        and isinstance(x.message, path_messages.Done)
    ]
    assert done.request_id == "r2", done
    assert abs(done.waited_s - waited) < 1e-9, done.waited_s
