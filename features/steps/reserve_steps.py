"""Steps for the part of an allowance that entries spend without its owner."""

from behave import given
from behave import then
from behave import when

from rhubarbbank_core import allowance_reserve

KEY = "allowance/tc-hall/kurz/v1"
STEP_S = 0.25
MINUTE_S = 60.0


@given("{seen:d} entries that see each other and {limit:d} allowed a minute")
def make_reserves(context, seen, limit):
    context.limit = limit
    context.reserves = []
    for _ in range(seen):
        reserve = allowance_reserve.AllowanceReserve()
        reserve.set_allowances(requests_per_minute={KEY: limit}, entries=seen)
        context.reserves.append(reserve)


@when("each entry takes all it can from the reserve for {minutes:d} minutes")
def take_all(context, minutes):
    context.taken = [
        step * STEP_S
        for step in range(int(minutes * MINUTE_S / STEP_S))
        for reserve in context.reserves
        if reserve.try_take(now=step * STEP_S, key=KEY)
    ]


@then("no minute of the reserve sees more than a hundredth of the allowance")
def check_minutes(context):
    for start in context.taken:
        inside = [t for t in context.taken if start <= t < start + MINUTE_S]
        assert len(inside) <= context.limit / 100, (start, len(inside))


@then("the reserve let at least {least:d} requests pass")
def check_least(context, least):
    assert len(context.taken) >= least, len(context.taken)
