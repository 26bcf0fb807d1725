"""Steps for the load tool's figures and verdicts."""

import pathlib

from behave import given
from behave import then
from behave import when

from rhubarbbank_core import entry_billing
from rhubarbbank_core import policies
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import load_caller
from rhubarbbank_experiments import load_main
from rhubarbbank_experiments import load_observe
from rhubarbbank_experiments import load_runs
from rhubarbbank_experiments import load_settings
from rhubarbbank_experiments import load_verdicts

PHASES = {"at half load": 0, "at 90%": 1}
ARMS = {
    "ours": {},
    "round_robin": {"placement": policies.PlacementName.ROUND_ROBIN},
    "always_strong": {"cascade": policies.CascadeName.ALWAYS_STRONG},
}


@given('load arms "ours", "round_robin" and "always_strong", a deadline of 2 s')
def choose_arms(context):
    context.arms = [load_settings.Arm(name=x, **ARMS[x]) for x in ARMS]
    context.calls = {x: [] for x in ARMS}
    context.bills = {x: [] for x in ARMS}


@given("load phases of {half:d} s at half load and {high:d} s at 90%")
def make_settings(context, half, high):
    path = pathlib.Path("experiments/deployments/platzwart.json")
    context.deployment = deployments.read_deployment(path)
    context.settings = load_settings.LoadSettings(
        deployments=[context.deployment.name],
        seeds=[11],
        arms=context.arms,
        full_load_per_s=40.0,
        deadline_s=2.0,
        session_share=0.5,
        sessions=20,
        engine={},
        phases=[
            load_settings.LoadPhase(name="half", duration_s=half, load=0.5),
            load_settings.LoadPhase(name="90%", duration_s=high, load=0.9),
        ],
    )


def add(context, arm, *, phase=0, name="tag", whole=1.0, failure="", **billed):
    """Adds a call, and its bill unless it failed."""
    number = len(context.calls[arm])
    call = load_caller.Call(
        phase=phase,
        at_s=float(number),
        request_class=name,
        organisation="tc-imst",
        first_s=None if failure else whole,
        whole_s=None if failure else whole,
        failure=failure,
        request_id=f"r{number}",
    )
    context.calls[arm].append(call)
    if failure:
        return
    model, _, version = billed.get("version", "lang@v1").partition("@")
    bill = entry_billing.Bill(
        request_id=call.request_id,
        organisation=call.organisation,
        model=model,
        version=version,
        request_class=name,
        prompt_tokens=1,
        completion_tokens=1,
        cost=billed.get("cost", 10),
    )
    context.bills[arm].append(bill)


def build_runs(context):
    return [
        load_runs.LoadRun(
            deployment=context.deployment,
            arm=arm,
            seed=11,
            calls=context.calls[arm.name],
            bills=context.bills[arm.name],
            retries=0,
            escalations=0,
            uses=[],
            store_calls={},
        )
        for arm in context.settings.arms
    ]


@when("the load tool plans the calls of seed {seed:d} for each arm")
def plan(context, seed):
    def plan_calls(wanted):
        arrivals = load_runs.draw_phases(context.settings, seed=wanted)
        return load_caller.plan_calls(
            context.settings, context.deployment, arrivals, seed=wanted
        )

    context.planned = [plan_calls(seed) for _ in context.settings.arms]
    context.others = plan_calls(seed + 1)


@then("all arms have the same calls")
def check_same_calls(context):
    assert context.planned[0]
    assert all(x == context.planned[0] for x in context.planned)


@then("the calls of seed 12 are others")
def check_other_calls(context):
    assert context.others != context.planned[0]


@when("these calls of class {name} arrived at half load")
def add_calls(context, name):
    for row in context.table:
        if row["failure"]:
            add(context, "ours", name=name, failure=row["failure"])
            continue
        add(
            context,
            "ours",
            name=name,
            whole=float(row["whole"]),
            version=row["version"],
            cost=int(row["cost"]),
        )


@then('the load figures of "{arm}" for {name} at half load are')
def check_figures(context, arm, name):
    figures = load_main.build_figures(context.settings, build_runs(context))
    (found,) = [
        x
        for x in figures
        if (x.arm, x.request_class, x.phase) == (arm, name, "half")
    ]
    context.found = found
    values = {"cost": found.cost_millicents}
    for row in context.table:
        figure = row["figure"]
        value = values.get(figure, getattr(found, figure, None))
        assert abs(value - float(row["value"])) < 0.001, (figure, value)


@then("its only failure is {code}, once")
def check_failures(context, code):
    assert context.found.failures == {code: 1}, context.found.failures


@when(
    'a model\'s answer costs "ours" {ours:d} and '
    '"always_strong" {strong:d} millicents'
)
def add_costs(context, ours, strong):
    add(context, "ours", cost=ours)
    add(context, "always_strong", cost=strong)


@when(
    'whole answers take "ours" {ours:g} and "round_robin" {other:g} s {phase}'
)
def add_latencies(context, ours, other, phase):
    add(context, "ours", whole=ours, phase=PHASES[phase])
    add(context, "round_robin", whole=other, phase=PHASES[phase])
    context.phase = context.settings.phases[PHASES[phase]].name


@then('the load verdict on "{figure}" is {verdict}')
def check_verdict(context, figure, verdict):
    verdicts = load_main.judge(context.settings, build_runs(context))
    phase = getattr(context, "phase", "half")
    (found,) = [x for x in verdicts if (x.figure, x.phase) == (figure, phase)]
    assert found.is_met == (verdict == "met"), found


@when("attempts were placed at 0, 1, 59, 60.5 and 130 s")
def place_attempts(context):
    context.busiest = load_observe.find_busiest([60.5, 0.0, 130.0, 59.0, 1.0])


@then("the busiest minute saw {count:d} of them")
def check_busiest(context, count):
    assert context.busiest == count, context.busiest


@then(
    "an allowance of {kept:d} a minute counts as kept, and one of 2 as exceeded"
)
def check_exceeded(context, kept):
    for limit, exceeded in ((kept, 0), (2, 1)):
        use = load_observe.AllowanceUse(
            key=("tc-imst", "kurz", "v1"),
            limit=limit,
            busiest=context.busiest,
        )
        found = load_verdicts.judge_allowances([use], arm="ours")
        assert found.value == exceeded
        assert found.is_met == (not exceeded)


@when('the requests "{placed}" were placed, and "{escalated}" was escalated')
def tell_decisions(context, placed, escalated):
    lines = [("placed", x) for x in placed.split()] + [("escalated", escalated)]
    context.decisions = [
        load_observe.Decision(
            decision=decision, request_id=name, at_s=0.0, key=("", "", "")
        )
        for decision, name in lines
    ]


@then("the load tool counts {count:d} retry")
def check_retries(context, count):
    assert load_observe.count_retries(context.decisions) == count
