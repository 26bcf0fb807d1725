"""Steps for the parts of prompts in the platform's headers."""

from behave import then
from behave import use_step_matcher
from behave import when
import multidict

from rhubarbbank_platform import headers

use_step_matcher("re")


@when('a caller names the parts of its prompt as "(?P<parts>.*)"')
def name_parts(context, parts):
    parse(context, [parts])


@when(
    'a caller names the parts of its prompt in the fields "(?P<first>.*)" and '
    '"(?P<second>.*)"'
)
def name_parts_in_fields(context, first, second):
    parse(context, [first, second])


def parse(context, values):
    fields = multidict.CIMultiDict((headers.PROMPT_PARTS, x) for x in values)
    context.generation = headers.parse_generation(fields)


@then('the shared parts are "(?P<shared>.*)"')
def check_shared_parts(context, shared):
    found = ",".join(context.generation.shared_part_ids)
    assert found == shared, found


use_step_matcher("parse")
