"""Steps on the tool that measures what an entry adds."""

import json
import pathlib
import tempfile

from behave import then
from behave import when

from rhubarbbank_experiments import platform_added


@when("the tool times {pairs:d} pairs of chats")
def measure(context, pairs):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    report = pathlib.Path(folder) / "added.json"
    printed = platform_added.run(report=str(report), pairs=pairs)
    context.report = json.loads(report.read_text(encoding="utf-8"))
    assert json.loads(printed) == context.report
    assert context.report["pairs"] == pairs


@then("its report has ordered percentiles of each way and of the difference")
def check_percentiles(context):
    for way in ("direct", "through", "added"):
        found = context.report[way]
        assert found["p50"] <= found["p95"] <= found["p99"], found


@then("the way through the entry takes longer than the straight one")
def check_longer(context):
    assert context.report["added"]["p50"] > 0.0, context.report
