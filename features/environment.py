"""What every feature shares: exit stacks, and fleets that run for a feature.

A feature tagged `@fleet.NAME` runs against one fleet of that deployment for
all of its scenarios; a scenario may start a fleet of its own in a step.
"""

import contextlib

from behave import model
from behave import runner
from support import fleets

FLEET_TAG = "fleet."


def before_feature(context: runner.Context, feature: model.Feature) -> None:
    context.feature_stack = contextlib.ExitStack()
    for tag in feature.tags:
        if tag.startswith(FLEET_TAG):
            context.fleet = context.feature_stack.enter_context(
                fleets.run_fleet(tag.removeprefix(FLEET_TAG))
            )


def after_feature(context: runner.Context, feature: model.Feature) -> None:
    context.feature_stack.close()


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    context.stack = contextlib.ExitStack()


def after_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    context.stack.close()
