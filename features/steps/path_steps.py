"""Steps for the whole path through real processes."""

import http.client
import json

from behave import then
from behave import when
import openai
from support import descriptors
from support import fleets

LONG_TEXT = "Tell me all about clay. " * 8
HUGE_HEADER_BYTES = 20_000


def find_entry(context, number):
    return context.fleet.places[f"entry-{number}"].http_address


@when('"{organisation}" asks entry {number:d} "{text}" for class "{name}"')
def ask(context, organisation, number, text, name):
    context.answer = fleets.chat(
        find_entry(context, number),
        text,
        organisation=organisation,
        headers={"X-Request-Class": name},
    )


@when(
    '"{organisation}" streams from entry {number:d} "{text}" for class "{name}"'
)
def ask_for_stream(context, organisation, number, text, name):
    headers = {"X-Request-Class": name}
    address = find_entry(context, number)
    first = fleets.chat(
        address, text, organisation=organisation, headers=headers, stream=True
    )
    context.answer = first
    context.whole = fleets.chat(
        address,
        text,
        organisation=organisation,
        headers=headers,
        model=first.headers["X-Model-Version"],
    )


@when('"{organisation}" books at entry {number:d} with key "{key}"')
def book(context, organisation, number, key):
    context.answer = fleets.call(
        find_entry(context, number),
        "/services/booking/courts",
        body=b'{"court": 2}',
        headers={
            "X-Organisation": organisation,
            "X-Request-Class": "booking",
            "Idempotency-Key": key,
        },
    )


@when('the well-known client asks entry {number:d} as "{organisation}"')
def ask_with_client(context, number, organisation):
    client = openai.OpenAI(
        base_url=f"http://{find_entry(context, number)}/v1",
        api_key=organisation,
        max_retries=0,
    )
    messages = [{"role": "user", "content": "Which balls on clay?"}]
    whole = client.chat.completions.create(model="kurz", messages=messages)
    stream = client.chat.completions.create(
        model="kurz", messages=messages, stream=True
    )
    context.whole_text = whole.choices[0].message.content
    context.streamed_text = "".join(
        x.choices[0].delta.content or "" for x in stream if x.choices
    )


BAD_INPUTS = {
    "no organisation": {"headers": {}},
    "an unknown organisation": {"headers": {"X-Organisation": "nobody"}},
    "a body that is not JSON": {"body": b"{"},
    "messages of the wrong type": {"body": b'{"messages": 7}'},
    "empty messages": {"body": b'{"messages": []}'},
    "a body over a megabyte": {"body": b" " * 1_000_001},
    'a deadline of "soon"': {
        "headers": {"X-Organisation": "tc-hall", "X-Deadline-Ms": "soon"}
    },
    "a model it may not use": {
        "body": b'{"model": "x", "messages": [{"role": "user"}]}'
    },
    "a booking without a key": {"path": "/services/booking/courts"},
    "a huge header": {"headers": {"X-Organisation": "x" * HUGE_HEADER_BYTES}},
}


@when("a caller sends entry {number:d} {what}")
def send_bad_input(context, number, what):
    body = json.dumps({"messages": [{"role": "user", "content": "x"}]})
    sent = {
        "path": "/v1/chat/completions",
        "body": body.encode(),
        "headers": {"X-Organisation": "tc-hall"},
    }
    sent |= BAD_INPUTS[what]
    context.answer = fleets.call(find_entry(context, number), **sent)


@when("a caller hangs up on entry {number:d} in the middle of a long answer")
def hang_up(context, number):
    connection = http.client.HTTPConnection(find_entry(context, number))
    body = {
        "model": "lang",
        "stream": True,
        "messages": [{"role": "user", "content": LONG_TEXT}],
    }
    connection.request(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body),
        headers={"X-Organisation": "tc-hall"},
    )
    assert connection.getresponse().read(10)
    connection.close()


@then("no upstream runs anything after a while")
def check_idle(context):
    def is_idle():
        loads = [
            json.loads(fleets.fleet.fetch(f"{x.upstream_url}/load"))
            for x in context.fleet.find_places("engine")
        ]
        cancelled = sum(
            x["cancelled"] for x in fleets.read_counts(context.fleet, "engine")
        )
        return cancelled and not any(x["running"] for x in loads)

    fleets.wait_until(is_idle, "the upstream's place is free again")


@then("the answer's status is {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


@then("the answer is a whole completion with counted tokens")
def check_completion(context):
    answer = context.answer.json
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["content"]
    assert answer["usage"]["completion_tokens"] > 0


@then("the answer names the version that served it")
def check_version(context):
    assert "@" in context.answer.headers["X-Model-Version"]


@then("the streamed text is the text of the whole answer")
def check_stream(context):
    parts = [
        choice["delta"].get("content") or ""
        for event in context.answer.events
        for choice in event["choices"]
    ]
    whole = context.whole.json["choices"][0]["message"]["content"]
    assert "".join(parts) == whole
    assert context.answer.body.endswith(b"data: [DONE]\n\n")


@then('the services have run key "{key}" {times:d} time')
def check_service_runs(context, key, times):
    counts = fleets.read_counts(context.fleet, "service")
    runs = sum(x["runs_by_key"].get(key, 0) for x in counts)
    assert runs == times, counts


@then("it gets the same text whole and streamed")
def check_client_texts(context):
    assert context.whole_text
    assert context.whole_text == context.streamed_text


@then('the error\'s code is "{code}" and its run state "{state}"')
def check_error(context, code, state):
    error = context.answer.error
    assert error["code"] == code, error
    assert error["run_state"] == state, error
    assert error["message"]


@then("no entry and no sidecar has an io_uring descriptor")
def check_descriptors(context):
    for place in context.fleet.places.values():
        pid = context.fleet.members[place.name].pid
        targets = descriptors.list_targets(pid)
        assert targets
        assert not any("io_uring" in x for x in targets), (place.name, targets)
