"""Steps for the settings that select an entry's policies."""

import json
import random

from behave import then
from behave import when

from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_control
from rhubarbbank_core import options
from rhubarbbank_core import policies

VALID_SETTINGS = {
    "name": "entry-0",
    "data_centre": "at-west-1",
    "region": "at-west",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "store_url": "http://127.0.0.1:9000",
    "hosts_url": "http://127.0.0.1:9001",
}


def check_entry_settings(**extra):
    text = json.dumps(VALID_SETTINGS | extra).encode()
    return options.check_settings(text, options.EntrySettings)


@when("entry settings without policies are checked")
def check_default_settings(context):
    context.check_result = check_entry_settings()


@when('entry settings with {field} "{name}" are checked')
def check_changed_settings(context, field, name):
    context.check_result = check_entry_settings(**{field: name})


def build_entry(settings):
    return entry.EntryReducer(
        identity=entry_control.EntryIdentity(
            name=settings.name,
            incarnation=1,
            peer_address=settings.peer_address,
            data_centre=settings.data_centre,
            region=settings.region,
            clock_offset_s=0.0,
        ),
        settings=entry_control.ControlSettings(),
        call_ids=effects.CallIds(),
        rng=random.Random(1),
        policy_names=policies.PolicyNames(
            placement=settings.placement, cascade=settings.cascade
        ),
    )


@then("the placement policy of the entry is {policy}")
def check_placement(context, policy):
    built = build_entry(context.check_result).state.placement
    assert type(built).__name__ == policy, built


@then("the cascade policy of the entry is {policy}")
def check_cascade(context, policy):
    built = build_entry(context.check_result).state.cascade
    assert type(built).__name__ == policy, built


@then('the only settings fault is in the field "{field}"')
def check_fault(context, field):
    assert [fault.field for fault in context.check_result] == [field], (
        context.check_result
    )


@then('the remedy of the fault is "{remedy}"')
def check_remedy(context, remedy):
    assert context.check_result[0].remedy == remedy, context.check_result[0]
