"""Steps that check the stand-ins' contracts over loopback HTTP."""

import asyncio
import base64
from concurrent import futures
import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from behave import given
from behave import runner
from behave import then
from behave import when
from support import descriptors

from rhubarbbank_standins import engine_batch
from rhubarbbank_standins import engine_text

WAIT_LIMIT_S = 10.0
FIRST_PORT = 20_000
PORT_LIMIT = 32_000
PORTS_PER_RUN = 16
MESSAGES = [{"role": "user", "content": "Seeding plan for clay courts. " * 9}]
LOST = (http.client.HTTPException, OSError)


def allot_ports(count):
    """Returns free ports that no outgoing connection takes meanwhile.

    They lie below the range that the system gives to outgoing connections,
    and the process id spreads runs that go on at the same time.
    """
    ports = []
    span = PORT_LIMIT - FIRST_PORT
    start = os.getpid() * PORTS_PER_RUN % span
    for step in range(span):
        port = FIRST_PORT + (start + step) % span
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError("no free ports")


def call(port, method, path, body=None, headers=None):
    """Returns status, headers and body bytes of one call."""
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def read_json(port, path):
    status, _, body = call(port, "GET", path)
    assert status == 200, (status, body)
    return json.loads(body)


def set_faults(port, faults):
    status, _, body = call(port, "POST", "/faults", faults)
    assert status == 200, body


def wait_until(condition):
    limit = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < limit, "it did not come about in time"
        time.sleep(0.01)


def make_settings(port):
    """Returns the settings of eight stand-ins by the name of each."""
    quick = {
        "kind": "engine",
        "versions": ["m@1", "m@2", "long@1"],
        "mean_tokens": {"m": 12, "long": 4000},
        "base_step_ms": 2,
        "per_running_ms": 0.1,
        "load_seconds": 0.05,
        "cache_event_lag_s": 0.0,
        "load_lag_s": 0.0,
        "restart_s": 0.4,
        "weights_url": f"http://127.0.0.1:{port['weights']}",
    }
    hampered = {"max_batch": 1, "load_lag_s": 600, "cache_event_drop": 0.5}
    rating = {
        "kind": "rating",
        "delay_s": 0.0,
        "qualities": {"m@1": {"*": 0.8}},
    }
    weights = {
        "kind": "weights",
        "fetch_seconds": 0.05,
        "fetches_per_minute": 1,
    }
    return {
        "store": {"kind": "object_api", "writes_per_s": 100},
        "engine1": quick,
        "engine2": {**quick, "check_fence": False},
        "engine3": {**quick, **hampered},
        "service": {"kind": "service", "service_time_ms": 1},
        "rating": rating,
        "weights": weights,
        "hosts": {"kind": "hosts"},
    }


def start(context, settings, *command):
    """Starts stand-ins; returns the process once all of them listen."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / "settings.json"
    path.write_text(json.dumps(settings))
    program = [sys.executable, "-m", "rhubarbbank_standins", *command]
    process = subprocess.Popen(
        [*program, "--settings", str(path)], stdout=subprocess.PIPE, text=True
    )
    context.stack.callback(stop, process)
    line = process.stdout.readline()
    assert line == "ready\n", (line, process.poll())
    return process


def start_alone(context, kind, settings):
    return start(context, settings, "one", "--kind", kind)


def stop(process):
    process.send_signal(signal.SIGTERM)
    process.wait(WAIT_LIMIT_S)
    process.stdout.close()


def put(context, key, value, headers=None):
    path = f"/objects/{key}"
    return call(context.port["store"], "PUT", path, value.encode(), headers)


class StreamReader(threading.Thread):
    """Reads one streamed completion in the background.

    `tokens` are the texts, `last` the last chunk, `ended` whether [DONE]
    came.
    """

    def __init__(self, port, model, messages, headers=None, **fields):
        super().__init__(daemon=True)
        self.tokens = []
        self.last = None
        self.status = None
        self.wants_reset = False
        self.ended = False
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=15
        )
        body = {"model": model, "messages": messages, "stream": True, **fields}
        self.connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), headers or {}
        )
        self.socket = self.connection.sock

    def run(self):
        try:
            answer = self.connection.getresponse()
            self.status = answer.status
            if answer.status != 200:
                return
            for line in answer:
                self.take(line.decode().strip())
                if self.wants_reset:
                    linger = struct.pack("ii", 1, 0)
                    self.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    answer.close()
                    return
        except (*LOST, ValueError):
            pass
        finally:
            self.connection.close()

    def take(self, line):
        if line == "data: [DONE]":
            self.ended = True
        elif line.startswith("data: "):
            self.last = json.loads(line.removeprefix("data: "))
            text = self.last["choices"][0]["delta"].get("content")
            if text is not None:
                self.tokens.append(text)

    def leave(self):
        self.socket.shutdown(socket.SHUT_RDWR)

    def reset(self):
        """Has the reader's own thread reset the connection.

        Closing a socket that another thread reads would let that thread
        read from whatever gets the same descriptor next.
        """
        self.wants_reset = True


def stream_all(port, model="m@1", messages=None, headers=None, **fields):
    reader = StreamReader(port, model, messages or MESSAGES, headers, **fields)
    reader.run()
    assert reader.ended
    return reader


@given("a bundle of stand-ins")
def step_bundle(context: runner.Context):
    names = "store engine1 engine2 engine3 service rating weights hosts"
    ports = allot_ports(len(names.split()))
    context.port = dict(zip(names.split(), ports, strict=True))
    chosen = make_settings(context.port)
    standins = [{**chosen[n], "port": p} for n, p in context.port.items()]
    context.process = start(context, {"standins": standins}, "bundle")


# The object API.


@given('the object API holds "{key}" as "{value}"')
def step_holds(context, key, value):
    status, headers, _ = put(context, key, value)
    assert status == 200
    context.etag = headers["ETag"]


def race(context, key, headers):
    count = 20
    barrier = threading.Barrier(count)

    def update(number):
        barrier.wait()
        return number, put(context, key, f"from {number}", headers)

    with futures.ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(update, range(count)))


@when('20 clients race to update "{key}" from the version they all read')
def step_race_update(context, key):
    race(context, key, {"If-Match": context.etag})


@when('20 clients race to create "{key}"')
def step_race_create(context, key):
    race(context, key, {"If-None-Match": "*"})


@then("{won:d} of the updates succeeded and {lost:d} met a conflict")
def step_race_outcome(context, won, lost):
    statuses = sorted(answer[0] for _, answer in context.outcomes)
    assert statuses == [200] * won + [412] * lost, statuses


@then("each conflict told the winner's value and version")
def step_conflict_tells(context):
    winner, won = next(o for o in context.outcomes if o[1][0] == 200)
    for _, (status, headers, body) in context.outcomes:
        if status == 412:
            assert body == f"from {winner}".encode()
            assert headers["ETag"] == won[1]["ETag"]


@when('the object "{key}" is deleted and created again')
def step_recreate(context, key):
    step_delete(context, key)
    context.key = key
    status, headers, _ = put(context, key, "again", {"If-None-Match": "*"})
    assert status == 200
    context.new_etag = headers["ETag"]


@when('the object "{key}" is deleted')
def step_delete(context, key):
    port = context.port["store"]
    assert call(port, "DELETE", f"/objects/{key}")[0] == 204
    assert call(port, "DELETE", f"/objects/{key}")[0] == 404
    assert call(port, "GET", f"/objects/{key}")[0] == 404
    status, headers, _ = put(context, key, "x", {"If-Match": context.etag})
    assert (status, headers["ETag"]) == (412, None)


@then("its version is above the one it had")
def step_version_grows(context):
    first = int(context.etag.strip('"'))
    assert int(context.new_etag.strip('"')) > first + 1


@then("an update from its first version meets a conflict")
def step_old_version(context):
    headers = {"If-Match": context.etag}
    assert put(context, context.key, "late", headers)[0] == 412


@given("the object API has the faults {faults}")
def step_store_faults(context, faults):
    set_faults(context.port["store"], json.loads(faults))


@when('a client creates "{key}" with "{value}" and its reply is lost')
def step_lost_reply(context, key, value):
    try:
        answer = put(context, key, value, {"If-None-Match": "*"})
    except LOST:
        return
    raise AssertionError(f"an answer came: {answer}")


@when('a client sends a write of "{key}" and leaves')
def step_write_and_leave(context, key):
    port = context.port["store"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
    connection.request("PUT", f"/objects/{key}", b"late")
    wait_until(lambda: read_json(port, "/counts")["writes"] == 1)
    connection.close()


@then("the object API comes to hold {count:d} objects")
def step_comes_to_hold(context, count):
    port = context.port["store"]
    wait_until(lambda: read_json(port, "/counts")["objects"] == count)


@when("the faults of the object API are cleared")
def step_clear(context):
    set_faults(context.port["store"], {})


@then('the object "{key}" reads "{value}"')
def step_reads(context, key, value):
    status, headers, body = call(
        context.port["store"], "GET", f"/objects/{key}"
    )
    assert (status, body) == (200, value.encode())
    assert headers["ETag"] == f'"{headers["X-Store-Revision"]}"'


@when('a client watches "{prefix}" and then "{key}" is written')
def step_watch(context, prefix, key):
    port = context.port["store"]
    path = f"/watch?prefix={prefix}&after=0&timeout_s=10"
    with futures.ThreadPoolExecutor(1) as pool:
        answer = pool.submit(read_json, port, path)
        wait_until(lambda: read_json(port, "/counts")["waiting_watches"] == 1)
        assert put(context, "other/1", "unwatched")[0] == 200
        assert put(context, key, "watched")[0] == 200
        context.watched = answer.result()


@then('the watch answers "{key}" at the store\'s revision')
def step_watch_answer(context, key):
    (entry,) = context.watched["objects"]
    assert (entry["key"], entry["version"]) == (key, 2)
    assert base64.b64decode(entry["value"]) == b"watched"
    assert context.watched["revision"] == 2


@then("the watch answers no objects at the store's revision")
def step_watch_gap(context):
    assert context.watched == {"revision": 2, "objects": []}


@then("the object API counted {count:d} watches")
def step_watch_count(context, count):
    assert read_json(context.port["store"], "/counts")["watches"] == count


@then(
    'a watch of "{prefix}" from revision {after:d} answers "{key}" as deleted'
)
def step_watch_deleted(context, prefix, after, key):
    path = f"/watch?prefix={prefix}&after={after}"
    answer = read_json(context.port["store"], path)
    deleted = {"key": key, "version": 2, "deleted": True}
    assert answer == {"revision": 2, "objects": [deleted]}, answer
    path = f"/watch?prefix={prefix}&after=2&timeout_s=0.05"
    assert read_json(context.port["store"], path)["objects"] == []


@then("a value of {fit:d} bytes is taken and one of {over:d} bytes is not")
def step_value_limit(context, fit, over):
    assert put(context, "big", "x" * fit)[0] == 200
    assert put(context, "big", "x" * over)[0] == 413


@then("a burst of {count:d} writes is throttled in part, by the count told")
def step_throttled(context, count):
    statuses = [put(context, f"burst/{i}", "x")[0] for i in range(count)]
    throttled = statuses.count(429)
    assert throttled > 0
    assert statuses.count(200) == count - throttled
    counts = read_json(context.port["store"], "/counts")
    assert counts["throttled"] == throttled
    listing = read_json(context.port["store"], "/objects?prefix=burst/")
    keys = [entry["key"] for entry in listing["objects"]]
    assert len(keys) == count - throttled
    assert keys == sorted(keys)


@then('with the faults {faults} client "{name}" gets 503 alone')
def step_denied(context, faults, name):
    step_down(context, faults, name)
    port = context.port["store"]
    assert call(port, "GET", "/objects", None, {"X-Client": "a"})[0] == 200


@then('with the faults {faults} client "{name}" gets 503')
def step_down(context, faults, name):
    step_store_faults(context, faults)
    port = context.port["store"]
    assert call(port, "GET", "/objects", None, {"X-Client": name})[0] == 503


# Engines.


@when("engine 1 streams a whole answer")
def step_stream(context):
    headers = {"X-Request-Id": "whole"}
    context.whole = stream_all(context.port["engine1"], headers=headers)
    assert context.whole.tokens


@then("engine 2, resumed at each of its tokens, streams exactly the rest")
def step_resume(context):
    tokens = context.whole.tokens
    for start in range(len(tokens) + 1):
        headers = {"X-Request-Id": f"from {start}"}
        rest = stream_all(
            context.port["engine2"], headers=headers, resume_from=start
        )
        assert rest.tokens == tokens[start:]
        assert rest.last["usage"]["completion_tokens"] == len(tokens)
    counts = read_json(context.port["engine2"], "/counts")
    assert counts["runs_by_version"] == {"m@1": len(tokens) + 1}
    assert set(counts["runs_by_request_id"].values()) == {1}


@then("an engine of another process streams the same tokens")
def step_other_process(context):
    (port,) = allot_ports(1)
    chosen = {**make_settings(context.port)["engine1"], "port": port}
    start_alone(context, "engine", chosen)
    assert stream_all(port).tokens == context.whole.tokens


@then("the whole answer without a stream is the same text")
def step_whole(context):
    body = {"model": "m@1", "messages": MESSAGES}
    port = context.port["engine1"]
    status, _, answer = call(port, "POST", "/v1/chat/completions", body)
    assert status == 200
    text = json.loads(answer)["choices"][0]["message"]["content"]
    assert text == "".join(context.whole.tokens)


@then("the last chunk tells the finish reason and the usage")
def step_last_chunk(context):
    last = context.whole.last
    assert last["choices"][0]["finish_reason"] == "stop"
    assert last["usage"]["completion_tokens"] == len(context.whole.tokens)


@then("a limit of 2 tokens cuts the answer to its first 2")
def step_limit(context):
    cut = stream_all(context.port["engine1"], max_tokens=2)
    assert cut.tokens == context.whole.tokens[:2]
    assert cut.last["choices"][0]["finish_reason"] == "length"


@then("version 2 gives another answer to the same messages")
def step_other_version(context):
    other = stream_all(context.port["engine1"], model="m@2")
    assert other.tokens != context.whole.tokens
    reader = StreamReader(context.port["engine1"], "m@9", MESSAGES)
    assert reader.connection.getresponse().status == 404


@given("engine {number:d} has the faults {faults}")
def step_engine_faults(context, number, faults):
    set_faults(context.port[f"engine{number}"], json.loads(faults))


@given("{count:d} clients read long streams from engine 1")
def step_long_streams(context, count):
    port = context.port["engine1"]
    context.readers = [
        StreamReader(port, "long@1", MESSAGES) for _ in range(count)
    ]
    for reader in context.readers:
        reader.start()
    wait_until(lambda: all(len(r.tokens) > 2 for r in context.readers))


@given("a client waits for a whole answer from engine 1")
def step_whole_waits(context):
    port = context.port["engine1"]
    running = len(context.readers) + 1
    reader = StreamReader(port, "long@1", MESSAGES, stream=False)
    context.readers.append(reader)
    reader.start()
    wait_until(lambda: read_json(port, "/counts")["running"] == running)


@when('a request that holds "{text}" is sent to engine 1')
def step_poison(context, text):
    message = {"role": "user", "content": f"some {text} here"}
    reader = StreamReader(context.port["engine1"], "m@1", [message])
    context.readers.append(reader)
    reader.start()


@then("all {count:d} callers are left without the end of their answers")
def step_cut_off(context, count):
    assert len(context.readers) == count
    for reader in context.readers:
        reader.join(WAIT_LIMIT_S)
        assert not reader.is_alive()
        assert not reader.ended
        assert reader.status in {None, 200}, reader.status


@then("engine 1 counted {count:d} crashes and refuses work")
def step_crashes(context, count):
    port = context.port["engine1"]
    assert call(port, "GET", "/health")[0] == 503
    counts = read_json(port, "/counts")
    assert counts["crashes"] == count
    assert counts["running"] == 0


@then("engine 1 serves again after its restart")
def step_back(context):
    port = context.port["engine1"]
    wait_until(lambda: call(port, "GET", "/health")[0] == 200)
    stream_all(port)


@when("the client of the stream leaves")
def step_leave(context):
    context.readers[0].leave()


@then("engine 1 counts {count:d} cancelled and nothing running")
def step_cancelled(context, count):
    port = context.port["engine1"]
    wait_until(lambda: read_json(port, "/counts")["cancelled"] == count)
    counts = read_json(port, "/counts")
    assert (counts["running"], counts["finished"]) == (0, 0)


@when("{count:d} of the clients reset their connections")
def step_reset(context, count):
    for reader in context.readers[:count]:
        reader.reset()


@then("engine 1 counts {count:d} cancelled and goes on with the others")
def step_goes_on(context, count):
    port = context.port["engine1"]
    wait_until(lambda: read_json(port, "/counts")["cancelled"] == count)
    made = read_json(port, "/counts")["tokens"]
    wait_until(lambda: read_json(port, "/counts")["tokens"] > made)


class ClosedTransport(asyncio.Transport):
    """A connection that closed before its handler heard of it."""

    def is_closing(self):
        return True

    def write(self, data):
        raise RuntimeError("the handler is closed")


class RecordingTransport(asyncio.Transport):
    """A connection that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = []

    def is_closing(self):
        return False

    def write(self, data):
        self.written.append(data)


def make_stream(loop, transport):
    answer = engine_text.make_answer(
        model_version="m@1", prompt="p", mean_tokens=50, max_tokens=None
    )
    return engine_batch.Stream(
        request_id="r",
        model_version="m@1",
        priority=1,
        prompt="p",
        answer=answer,
        next_index=0,
        transport=transport,
        is_streamed=True,
        head=b"",
        tail=b"",
        done=loop.create_future(),
    )


@when("a batch steps over a closed and an open connection")
def step_batch_closed(context):
    loop = asyncio.new_event_loop()
    context.stack.callback(loop.close)
    pace = engine_batch.Pace(max_batch=2, base_step_s=1.0, per_running_s=0.0)
    batch = engine_batch.Batch(pace=pace, start=lambda stream: 0.0)
    context.open = RecordingTransport()
    transports = [ClosedTransport(), context.open]
    batch.running = [make_stream(loop, each) for each in transports]
    batch.advance(now=1.0)


@then("the open one gets its token")
def step_open_written(context):
    assert len(context.open.written) == 1


@given("engine 3, with one slot, is busy with a long stream")
def step_busy(context):
    context.busy = StreamReader(context.port["engine3"], "long@1", MESSAGES)
    context.busy.start()
    wait_until(lambda: context.busy.tokens)


@when("requests with the priorities {priorities} arrive at engine 3 in turn")
def step_priorities(context, priorities):
    port = context.port["engine3"]
    context.readers = []
    for place, priority in enumerate(priorities.split(", "), start=1):
        headers = {"X-Priority": priority, "X-Request-Id": str(place)}
        reader = StreamReader(port, "m@1", MESSAGES, headers)
        context.readers.append(reader)
        reader.start()
        wait_until(lambda n=place: read_json(port, "/counts")["waiting"] == n)
    context.busy.leave()


@then("they start in the order of the places {places}")
def step_order(context, places):
    for reader in context.readers:
        reader.join(WAIT_LIMIT_S)
        assert reader.ended
    counts = read_json(context.port["engine3"], "/counts")
    started = ", ".join(counts["runs_by_request_id"])
    assert started == places, started


@when("engine 1 hangs")
def step_hang(context):
    set_faults(context.port["engine1"], {"hang": True})


@then("no token comes until the hang is over")
def step_hung(context):
    port = context.port["engine1"]
    made = read_json(port, "/counts")["tokens"]
    time.sleep(0.15)
    assert read_json(port, "/counts")["tokens"] == made
    set_faults(port, {})
    wait_until(lambda: read_json(port, "/counts")["tokens"] > made)


def give_order(context, number, **order):
    port = context.port[f"engine{number}"]
    status, headers, _ = call(port, "POST", "/orders", order)
    return status, headers


@when('both engines are ordered to unload "m@2" with fences 5 and then 4')
def step_fences(context):
    context.statuses = {}
    for number in (1, 2):
        first = {"order": "role", "role": "decode", "fence": 5}
        second = {"order": "unload", "model": "m", "version": "2", "fence": 4}
        assert give_order(context, number, **first)[0] == 200
        context.statuses[number] = give_order(context, number, **second)[0]


@then("engine 1, which checks, refused the second order")
def step_fence_refused(context):
    assert context.statuses[1] == 409
    versions = read_json(context.port["engine1"], "/versions")
    assert "m@2" in versions["loaded"]
    assert (versions["role"], versions["last_fence"]) == ("decode", 5)


@then("engine 2, which doesn't, obeyed it and counted it as stale")
def step_fence_obeyed(context):
    assert context.statuses[2] == 200
    versions = read_json(context.port["engine2"], "/versions")
    assert "m@2" not in versions["loaded"]
    counts = read_json(context.port["engine2"], "/counts")
    assert counts["stale_orders_obeyed"] == 1
    assert counts["orders_by_fence"] == {"5": 1, "4": 1}


@when("engine 1 is ordered to load two more versions, one above the rate")
def step_load(context):
    context.orders = [
        give_order(context, 1, order="load", model="m", version=v)
        for v in ("3", "4")
    ]


@then("the first is loaded and the second gets 503 with Retry-After")
def step_loaded(context):
    (first, _), (second, headers) = context.orders
    assert (first, second) == (200, 503)
    assert int(headers["Retry-After"]) > 0
    loaded = read_json(context.port["engine1"], "/versions")["loaded"]
    assert "m@3" in loaded
    assert "m@4" not in loaded
    stream_all(context.port["engine1"], model="m@3")


def read_cached_tokens(port):
    usage = stream_all(port, max_tokens=1).last["usage"]
    return usage["prompt_tokens_details"]["cached_tokens"]


@then("the same prompt is cached on engine 1 and not on engine 2")
def step_cached(context):
    assert read_cached_tokens(context.port["engine1"]) > 0
    events = read_json(context.port["engine2"], "/cache_events?after=0")
    assert events["events"] == []


@then("after export and import it is cached on engine 2")
def step_import(context):
    path, wanted = "/kv/export", {"request_id": "whole"}
    status, _, kv = call(context.port["engine1"], "POST", path, wanted)
    assert status == 200
    assert call(context.port["engine2"], "POST", "/kv/import", kv)[0] == 200
    assert read_cached_tokens(context.port["engine2"]) > 0


@then("the cache events of engine 2 list its blocks")
def step_events(context):
    port = context.port["engine2"]
    page = read_json(port, "/cache_events?after=0")
    sequences = [event["sequence"] for event in page["events"]]
    assert sequences == list(range(1, len(sequences) + 1))
    assert {event["action"] for event in page["events"]} == {"stored"}
    rest = read_json(port, f"/cache_events?after={page['next']}")
    assert rest == {"next": page["next"], "events": []}


@when("engine 3, which drops half of its cache events, streams an answer")
def step_gappy_stream(context):
    messages = [{"role": "user", "content": "x" * 64 * 40}]
    stream_all(context.port["engine3"], messages=messages)


@then("the sequence numbers of its cache events have gaps")
def step_gaps(context):
    page = read_json(context.port["engine3"], "/cache_events?after=0")
    sequences = [event["sequence"] for event in page["events"]]
    assert sequences == sorted(set(sequences))
    assert 0 < len(sequences) < page["next"] - 5, sequences


@then("engine 1, without a lag, reports 1 running")
def step_load_fresh(context):
    load = read_json(context.port["engine1"], "/load")
    assert (load["running"], load["waiting"]) == (1, 0)


@then("engine 3, with a long lag, reports 0 running and its age")
def step_load_old(context):
    port = context.port["engine3"]
    assert read_json(port, "/counts")["running"] == 1
    load = read_json(port, "/load")
    assert load["running"] == 0
    assert read_json(port, "/load")["age_s"] > load["age_s"] > 0.0


# The plain service.


def book(context, key):
    headers = {"Idempotency-Key": key, "X-Request-Id": f"request of {key}"}
    return call(context.port["service"], "POST", "/courts/7", b"{}", headers)


@given("the service has the faults {faults}")
def step_service_faults(context, faults):
    set_faults(context.port["service"], json.loads(faults))


@when('the booking with key "{key}" is sent {count:d} times')
def step_book(context, key, count):
    context.statuses = [book(context, key)[0] for _ in range(count)]


@when("{count:d} bookings are sent to the service at once")
def step_book_at_once(context, count):
    pool = context.stack.enter_context(futures.ThreadPoolExecutor(count))
    context.bookings = [pool.submit(book, context, "k") for _ in range(count)]


@then(
    "{running:d} bookings run while {waiting:d} wait, and all {total:d} are"
    " answered"
)
def step_parallel(context, running, waiting, total):
    port = context.port["service"]
    wait_until(lambda: read_json(port, "/counts")["waiting"] == waiting)
    assert read_json(port, "/counts")["running"] == running
    answers = [booking.result() for booking in context.bookings]
    numbers = {json.loads(body)["booking"] for _, _, body in answers}
    assert numbers == set(range(1, total + 1))


@then("each of the bookings was answered {status:d}")
def step_booked(context, status):
    assert set(context.statuses) == {status}


@when('the booking with key "{key}" is sent and gets no answer')
def step_book_lost(context, key):
    try:
        answer = book(context, key)
    except LOST:
        return
    raise AssertionError(f"an answer came: {answer}")


@then('the service counted {count:d} runs of key "{key}"')
def step_runs(context, count, key):
    counts = read_json(context.port["service"], "/counts")
    assert counts["runs_by_key"].get(key, 0) == count
    by_request = counts["runs_by_request_id"]
    assert by_request.get(f"request of {key}", 0) == count


# The rating service and the host list.


def rate(context, request_id, answer=""):
    wanted = {
        "request_id": request_id,
        "model": "m",
        "version": "1",
        "request_class": "tag",
        "answer": answer,
    }
    status, _, body = call(context.port["rating"], "POST", "/rate", wanted)
    assert status == 200
    return json.loads(body)["rating"]


@then("the rating of one request is the same each time")
def step_rating_repeats(context):
    assert rate(context, "r") == rate(context, "r")
    assert rate(context, "r") != rate(context, "s")


def check_mean(context, count, quality, answer):
    ratings = [rate(context, f"r{i}", answer) for i in range(count)]
    assert all(0.0 <= rating <= 1.0 for rating in ratings)
    mean = sum(ratings) / count
    assert abs(mean - quality) < 0.05, mean


@then('{count:d} ratings of "m@1" have a mean near {quality:g}')
def step_mean(context, count, quality):
    check_mean(context, count, quality, "")


@then(
    "{count:d} ratings of answers with a loss of {loss:g} have a mean near"
    " {quality:g}"
)
def step_mean_loss(context, count, loss, quality):
    port = context.port["engine1"]
    set_faults(port, {"bad_quality": {"m@1": loss}})
    answer = "".join(stream_all(port).tokens)
    check_mean(context, count, quality, answer)


@given("the host list has the faults {faults}")
def step_host_faults(context, faults):
    set_faults(context.port["hosts"], json.loads(faults))


@when('the host "{name}" is registered')
def step_register(context, name):
    host = {"role": "entry", "data_centre": "dc-1", "region": "at-west"}
    path = f"/hosts/{name}"
    assert call(context.port["hosts"], "PUT", path, host)[0] == 200


@then('the host list shows "{name}" only once it lags no more')
def step_lag(context, name):
    port = context.port["hosts"]
    assert read_json(port, "/hosts") == {"hosts": []}
    set_faults(port, {"lag_s": 0.0})
    (host,) = read_json(port, "/hosts")["hosts"]
    assert (host["name"], host["state"]) == (name, "live")
    assert call(port, "DELETE", f"/hosts/{name}")[0] == 204
    assert read_json(port, "/hosts") == {"hosts": []}


# The bundle.


@then("the fault {faults} is refused everywhere")
def step_unknown_fault(context, faults):
    for port in context.port.values():
        assert call(port, "POST", "/faults", json.loads(faults))[0] == 400


@then("the bundle holds no io_uring and ends cleanly on SIGTERM")
def step_clean_end(context):
    targets = descriptors.list_targets(context.process.pid)
    assert targets
    assert not any("io_uring" in x for x in targets), targets
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(WAIT_LIMIT_S) == 0


@then("a host list served alone says ready and ends cleanly on SIGTERM")
def step_alone(context):
    (port,) = allot_ports(1)
    process = start_alone(context, "hosts", {"port": port})
    assert read_json(port, "/hosts") == {"hosts": []}
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_LIMIT_S) == 0
