"""Steps for the mix experiment: its simulated site, and what it writes."""

import collections
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec

from rhubarbbank_experiments import mix_arms
from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_engine
from rhubarbbank_experiments import mix_main
from rhubarbbank_experiments import mix_settings
from rhubarbbank_router import callers

DURATION_S = 5.0
CRASH = mix_main.TroubleSettings(name="crash", crashes=True)
PLAIN_CLASSES = ("book", "look")
CALM = mix_main.TroubleSettings(name="calm")
SMALL_CASE = {
    "mixes": ["platzwart"],
    "loads": [1.0],
    "seeds": [1, 2],
    "duration_s": 1.0,
    "troubles": [{"name": "calm"}],
}


def draw(mix, load=1.0, seed=1, duration_s=DURATION_S):
    return mix_arrivals.draw_arrivals(
        mix, load=load, duration_s=duration_s, seed=seed
    )


def play(mix, arm, seed, *, load=1.0, trouble=CALM, entries=None):
    found = mix_settings.read_mix(mix)
    if entries is not None:
        found = msgspec.structs.replace(found, entries=entries)
    return mix_main.play(
        found,
        mix_arms.find_arm(arm),
        load=load,
        seed=seed,
        duration_s=DURATION_S,
        trouble=trouble,
    )


def build_engine(**changes):
    settings = mix_settings.read_mix("platzwart").engines
    fields = {x: getattr(settings, x) for x in settings.__struct_fields__}
    return mix_engine.Engine(
        mix_settings.EngineSettings(**{**fields, **changes})
    )


def build_prompt(own, session="s", tokens=400):
    parts = (("all", 100), (session, 200), (own, tokens - 300))
    return tuple(
        callers.PromptPart(part_id=name, tokens=count) for name, count in parts
    )


def build_run(number, prompt, model=0, answer_tokens=50):
    mix = mix_settings.read_mix("platzwart")
    arrival = mix_arrivals.Arrival(
        number=number,
        at=0.0,
        entry=0,
        wanted=mix.classes[0],
        generation=callers.GenerationParameters(
            prompt=prompt, prompt_tokens=sum(x.tokens for x in prompt)
        ),
        answer_tokens=answer_tokens,
        hardness=0.0,
        noises={},
        work_s=(),
        fails=(),
    )
    return mix_engine.Run(
        key=(0, str(number), 1),
        arrival=arrival,
        model=mix.models[model],
        priority=1,
    )


def time_step(engine):
    """Returns how long a step takes once all prompts are read."""
    while True:
        took_s = engine.begin_step()
        if not any(x.unread for x in engine.running):
            return took_s
        engine.end_step()


@then(
    'the requests of "{name}" at load {load:g} are the same for the same seed'
)
def check_same(context, name, load):
    context.mix = mix_settings.read_mix(name)
    context.drawn = draw(context.mix, load, duration_s=60.0)
    assert context.drawn == draw(context.mix, load, duration_s=60.0)
    assert context.drawn != draw(context.mix, load, seed=2, duration_s=60.0)


@then("they come at about {rate:g} a second, in the shares of the classes")
def check_rate(context, rate):
    total = len(context.drawn)
    assert abs(total / 60.0 - rate) < 0.1 * rate, total
    counts = collections.Counter(x.wanted.name for x in context.drawn)
    shares = sum(x.share for x in context.mix.classes)
    for wanted in context.mix.classes:
        expected = total * wanted.share / shares
        assert abs(counts[wanted.name] - expected) < 0.15 * expected, counts


@then(
    "a step of an engine takes longer with {many:d} streams than with {one:d}"
)
def check_batch(context, many, one):
    took = []
    for count in (one, many):
        engine = build_engine()
        for number in range(count):
            engine.submit(build_run(number, build_prompt(f"own-{number}")))
        took.append(time_step(engine))
    assert took[1] > 1.5 * took[0], took


@then("a step takes longer while a prompt of {tokens:d} tokens is read")
def check_prefill(context, tokens):
    engine = build_engine()
    engine.submit(build_run(1, build_prompt("own-1")))
    alone_s = time_step(engine)
    engine.end_step()
    engine.submit(build_run(2, build_prompt("own-2", "t", tokens)))
    assert engine.begin_step() > 3.0 * alone_s
    assert len(engine.running) == 2


@given("an engine has answered a prompt")
def answer_prompt(context):
    context.engine = build_engine()
    context.engine.submit(build_run(1, build_prompt("own-1")))
    while not context.engine.is_idle:
        context.engine.begin_step()
        context.engine.end_step()


@then("it reads only the own part of the next prompt of that session")
def check_kept(context):
    run = build_run(2, build_prompt("own-2"))
    context.engine.submit(run)
    context.engine.admit()
    assert run.unread == 100, run.unread


@then("it reads the whole prompt for another model")
def check_other_model(context):
    run = build_run(3, build_prompt("own-3"), model=2)
    context.engine.submit(run)
    context.engine.admit()
    assert run.unread == 400, run.unread


@then("an engine that keeps {most:d} tokens forgets the first of three of 400")
def check_yield(context, most):
    cache = mix_engine.PromptCache(capacity=most)
    prompts = [build_prompt(f"own-{x}", f"s-{x}") for x in range(3)]
    for prompt in prompts:
        cache.use("small", prompt)
    assert cache.tokens <= most
    assert cache.use("small", prompts[2]) == 400
    # The beginning that all three share was used last.
    assert cache.use("small", prompts[0]) == 100


def count_poor(context, count):
    """Sorts requests by whether the smallest model is unsure of them."""
    mix = mix_settings.read_mix("platzwart")
    model = mix.models[0]
    drawn = [x for x in draw(mix, 4.0, duration_s=15.0) if x.answer_tokens]
    drawn = drawn[:count]
    assert len(drawn) == count
    unsure = [x for x in drawn if x.rate_confidence(model) < 50]
    sure = [x for x in drawn if x.rate_confidence(model) >= 50]
    return [
        sum(x.is_poor(model) for x in found) / len(found)
        for found in (unsure, sure)
    ]


@then(
    "of {count:d} requests that the smallest model is unsure of {least:d} % are"
    " poor"
)
def check_unsure(context, count, least):
    context.shares = count_poor(context, count)
    assert context.shares[0] * 100 >= least, context.shares


@then("of those that it is sure of at most {most:d} % are")
def check_sure(context, most):
    assert context.shares[1] * 100 <= most, context.shares


@when('"{mix}" is played at load {load:g} with {seeds:d} seeds')
def choose_case(context, mix, load, seeds):
    context.case = {"mix": mix, "load": load}
    context.seeds = range(1, seeds + 1)
    context.product = [
        play(arm="product", seed=seed, **context.case) for seed in context.seeds
    ]


@then('the product is worth more than "{arm}" with each seed')
def check_better(context, arm):
    others = [
        play(arm=arm, seed=seed, **context.case) for seed in context.seeds
    ]
    for ours, other in zip(context.product, others, strict=True):
        assert ours.worth > other.worth, (ours, other)


def sum_late_starts(figures):
    """The 95th percentile of the time to the first event, over classes."""
    return sum(
        x.first_p95_ms for x in figures.classes if x.name not in PLAIN_CLASSES
    )


@then('the product\'s streams begin sooner than with "{arm}" with each seed')
def check_sooner(context, arm):
    others = [
        play(arm=arm, seed=seed, **context.case) for seed in context.seeds
    ]
    for ours, other in zip(context.product, others, strict=True):
        assert sum_late_starts(ours) < sum_late_starts(other), (ours, other)


@then("all entries together serve within {most:g} of what one entry would")
def check_one_entry(context, most):
    for seed, ours in zip(context.seeds, context.product, strict=True):
        alone = play(arm="product", seed=seed, entries=1, **context.case)
        assert ours.worth >= alone.worth - most, (ours, alone)


@when('"{mix}" is played while an engine crashes')
def play_crash(context, mix):
    context.found = play(mix, "product", 1, trouble=CRASH)
    calm = play(mix, "product", 1)
    assert context.found.again > calm.again, "nothing broke off"


@then("at least {least:d} % of the product's streams are whole")
def check_streams(context, least):
    streams = [x for x in context.found.classes if x.name in {"plan", "chat"}]
    asked = sum(x.asked for x in streams)
    failed = sum(x.failed for x in streams)
    assert asked
    assert 100 * (asked - failed) >= least * asked, streams


@then('"{mix}" gives the same figures twice')
def check_repeats(context, mix):
    assert play(mix, "product", 3) == play(mix, "product", 3)


@when("the experiment is run on a small case")
def run_small(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = pathlib.Path(folder)
    settings = context.folder / "mix.json"
    settings.write_text(json.dumps(SMALL_CASE), encoding="utf-8")
    mix_main.run(
        settings=str(settings),
        report=str(context.folder / "report.json"),
        arms=["in_turn"],
    )


@then("its page has a line for each arm, with the product's gain over it")
def check_page(context):
    page = (context.folder / "report.md").read_text(encoding="utf-8")
    lines = [x for x in page.splitlines() if x.startswith("| platzwart")]
    cells = [[y.strip() for y in x.strip("|").split("|")] for x in lines]
    assert [x[3] for x in cells] == ["product", "in_turn"], lines
    assert cells[0][5] == "+0.000", lines
    assert "of 2" in cells[1][6], lines


@then("its report and its plot are written")
def check_files(context):
    report = json.loads((context.folder / "report.json").read_bytes())
    assert len(report["result"]) == 4
    plot = (context.folder / "report.png").read_bytes()
    assert plot.startswith(b"\x89PNG")


@then('asking for the arm "{name}" names the arms that there are')
def check_unknown_arm(context, name):
    try:
        mix_arms.find_arm(name)
    except ValueError as error:
        assert "in_turn" in str(error)
    else:
        raise AssertionError(name)
