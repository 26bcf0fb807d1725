"""Steps of the table features, with a naive serial model of the editing."""

import asyncio
import dataclasses
import io
import json
import pathlib
import random
import re
import shlex
import tempfile
import threading

import aiohttp.web
import behave
from behave import runner
import fire
import hypothesis
from hypothesis import strategies
import msgspec
from support import trials

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import store
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_edit
from rhubarbbank_core import table_editor
from rhubarbbank_core import table_input
from rhubarbbank_core import table_text
from rhubarbbank_core import texts
from rhubarbbank_entry import table_commands

EDIT_TIME = "2026-12-03T09:00:00Z"
HALL = table.Row(organisation="TC Hall", model="plan", version="1.10")


def make_stored(rows: list[table.Row], revision: int):
    ordered = tuple(sorted(rows, key=lambda row: row.row_key))
    return table_codec.StoredTable(
        table=table.Table(revision=revision, rows=ordered)
    )


def submit(context: runner.Context, *changes, author="ken", base=2, **more):
    edits = [
        table_codec.Edit(
            author=author,
            write_id=f"w{len(context.sent)}/{number}",
            time=EDIT_TIME,
            change=change,
            base_revision=base,
            **more,
        )
        for number, change in enumerate(changes)
    ]
    context.sent.append(edits)
    send(context, edits)


def send(context: runner.Context, edits) -> None:
    context.end = table_edit.apply_edits(context.stored, edits)
    if isinstance(context.end, table_edit.Applied):
        context.stored = context.end.stored


@behave.given("the table holds these rows")
def hold_rows(context: runner.Context) -> None:
    context.rows = [
        table_input.build_row(
            {table.Column(code): line[code] for code in line.headings}
        )
        for line in context.table
    ]
    context.stored = make_stored(context.rows, len(context.rows))
    context.stored = dataclasses.replace(
        context.stored,
        history=tuple(
            table_codec.Edit(
                author="mia",
                write_id=f"start{number}",
                time=EDIT_TIME,
                change=table_codec.AddRow(row),
                base_revision=number,
                revision=number + 1,
            )
            for number, row in enumerate(context.rows)
        ),
    )
    context.sent = []


@behave.when(
    "table {kind:w} {author:w}, who saw revision {base:d}, sets {code} of row "
    "{row:d} from {old} to {new}"
)
def set_cell(context: runner.Context, **cell) -> None:
    key = context.rows[cell["row"] - 1].row_key
    column = table.Column(cell["code"])
    change = table_codec.SetCell(key, column, cell["old"], cell["new"])
    submit(
        context,
        change,
        author=cell["author"],
        base=cell["base"],
        by_system=cell["kind"] == "system",
    )


@behave.when("table operator {author:w} removes row {row:d}")
def remove_row(context, author: str, row: int) -> None:
    submit(context, table_codec.RemoveRow(context.rows[row - 1]), author=author)


@behave.when(
    "table operator {author:w} adds organisation {name} with model {model} "
    "and version {version}"
)
def add_row(context, author, name, model, version) -> None:
    row = table.Row(organisation=name, model=model, version=version)
    submit(context, table_codec.AddRow(row), author=author)


@behave.when(
    "a table batch sets weight_points of row 1 to 40 and then adds row 2 again"
)
def send_batch(context: runner.Context) -> None:
    key = context.rows[0].row_key
    submit(
        context,
        table_codec.SetCell(key, table.Column.WEIGHT, "100", "40"),
        table_codec.AddRow(dataclasses.replace(context.rows[1], status="ok")),
    )


@behave.when("the table weight of row 1 is set 200 times and ends at 100")
def set_often(context: runner.Context) -> None:
    key = context.rows[0].row_key
    for number in range(200):
        row = context.stored.table.find(key.organisation, context.rows[0].key)
        new = "100" if number == 199 else str(number)
        change = table_codec.SetCell(
            key, table.Column.WEIGHT, str(row.weight), new
        )
        submit(context, change, base=context.stored.table.revision)
        assert isinstance(context.end, table_edit.Applied)


@behave.when("the {which:w} table edit is sent again")
def send_again(context: runner.Context, which: str) -> None:
    send(context, context.sent[0 if which == "first" else -1])


@behave.then("the table edit is accepted")
def check_accepted(context: runner.Context) -> None:
    assert isinstance(context.end, table_edit.Applied), context.end


@behave.then("the table edit is refused with {code:w}")
def check_refused(context: runner.Context, code: str) -> None:
    assert context.end.problem.code == code, context.end


@behave.then("the table refusal reads in {language:w}: {line}")
def check_reading(context: runner.Context, language: str, line: str) -> None:
    said = table_text.describe_refusal(context.end, texts.Language(language))
    assert line in said, said


@behave.then("the table is at revision {revision:d}")
def check_revision(context: runner.Context, revision: int) -> None:
    assert context.stored.table.revision == revision


@behave.then("the table holds {cell} in {code} of row {row:d}")
def check_cell(context, cell: str, code: str, row: int) -> None:
    there = context.stored.table.find(
        context.rows[row - 1].organisation, context.rows[row - 1].key
    )
    assert table_input.read_cell(there, table.Column(code)) == cell


@behave.then("the table history holds {count:d} edits")
def check_history(context: runner.Context, count: int) -> None:
    assert len(context.stored.history) == count


def make_large_rows(organisations: int) -> list[table.Row]:
    return [
        table.Row(
            organisation=f"Tennisclub Organisation {number:03d}",
            model=f"season-schedules-{version % 3}",
            version=f"2026.{version}",
            classes=("booking-chat", "season-schedules", "tags"),
            price_per_1k_tokens=12_345,
            quality_target=850,
            status="stage:25",
        )
        for number in range(organisations)
        for version in range(7)
    ]


@behave.when("the table is filled with {count:d} organisations of 7 versions")
def fill(context: runner.Context, count: int) -> None:
    context.stored = make_stored(make_large_rows(count), 1)
    context.sent = []
    for row in make_large_rows(count)[:200]:
        submit(
            context,
            table_codec.RemoveRow(row),
            table_codec.AddRow(row),
            base=context.stored.table.revision,
            by_system=True,
        )
        assert isinstance(context.end, table_edit.Applied), context.end


@behave.then("the table object takes less than {limit:d} bytes")
def check_size(context: runner.Context, limit: int) -> None:
    assert len(table_codec.encode_table(context.stored)) < limit


@behave.then("the table object decodes to the same table and digest")
def check_object(context: runner.Context) -> None:
    back = table_codec.decode_table(table_codec.encode_table(context.stored))
    assert back == context.stored
    digest = table_codec.compute_digest
    assert digest(back.table) == digest(context.stored.table)
    other = table.Table(revision=1, rows=back.table.rows[1:])
    assert digest(other) != digest(back.table)


@behave.then("rows beyond the table limit are refused")
def check_bound(context: runner.Context) -> None:
    rows = [dataclasses.replace(r, status="ok") for r in make_large_rows(999)]
    present = {row.row_key for row in context.stored.table.rows}
    changes = [
        table_codec.AddRow(row) for row in rows if row.row_key not in present
    ]
    submit(context, *changes, base=context.stored.table.revision)
    assert context.end.fault is table_input.CellFault.TABLE_FULL


@behave.when("{count:d} table rows of 16 classes with long names come")
def add_large_rows(context: runner.Context, count: int) -> None:
    classes = tuple(f"{number:02d}" + "線" * 60 for number in range(16))
    for number in range(count):
        row = table.Row(
            organisation="O", model="m", version=str(number), classes=classes
        )
        revision = context.stored.table.revision
        submit(context, table_codec.AddRow(row), base=revision)
        assert isinstance(context.end, table_edit.Applied), context.end


@behave.then(
    "the table history takes at most {limit:d} bytes and ends at the last edit"
)
def check_history_bytes(context: runner.Context, limit: int) -> None:
    history = context.stored.history
    assert len(msgspec.json.encode(history)) <= limit + len("[]")
    assert history[-1].revision == context.stored.table.revision
    assert len(history) > 1


# The serial model: one object, changed only by writes that the fake store
# lets land, each checked by hand against a dictionary of cells.

MODEL_ROWS = [
    table.Row(organisation=name, model="m", version="1") for name in "ab"
]
MODEL_COLUMNS = (table.Column.WEIGHT, table.Column.PRIORITY)
FAULTS = ("ok", "ok", "ok", "lost", "done", "late", "throttled", "unavailable")


class FakeStore:
    def __init__(self) -> None:
        self.version = 1
        self.value = table_codec.encode_table(make_stored(MODEL_ROWS, 0))
        self.cells = {
            (row.row_key, column): table_input.read_cell(row, column)
            for row in MODEL_ROWS
            for column in MODEL_COLUMNS
        }
        self.intents: dict[str, table_codec.Edit] = {}
        self.landed: dict[str, int] = {}
        self.authors: dict[tuple, str] = {}

    def carry_out(self, call: store.StoreCall) -> store.StoreReply:
        if call.operation is store.StoreOperation.PUT:
            if call.expected_version != self.version:
                return store.StoreReply(
                    call_id=call.call_id, outcome=store.StoreOutcome.CONFLICT
                )
            self.land(call.value)
        found = store.StoredObject(call.key, self.version, self.value)
        return store.StoreReply(
            call_id=call.call_id,
            outcome=store.StoreOutcome.OK,
            objects=(found,),
        )

    def land(self, value: bytes) -> None:
        fresh = json.loads(value)
        write_id = fresh["write_id"]
        edit = self.intents[write_id]
        cell = (edit.change.row_key, edit.change.column)
        assert write_id not in self.landed, "applied twice"
        assert self.cells[cell] == edit.change.old, "reverts another's edit"
        assert fresh["revision"] == len(self.landed) + 1, "revision jumped"
        self.cells[cell] = edit.change.new
        self.authors[cell] = edit.author
        self.landed[write_id] = fresh["revision"]
        self.version += 1
        self.value = value
        rows = table_codec.decode_table(value).table.rows
        for row in rows:
            for column in MODEL_COLUMNS:
                there = table_input.read_cell(row, column)
                assert there == self.cells[row.row_key, column], "lost edit"


class Operator:
    def __init__(self, name: str, fake: FakeStore) -> None:
        self.name = name
        self.fake = fake
        self.editor = table_editor.TableEditor(
            calls=effects.CallIds(), randomness=random.Random(1)
        )
        self.calls: list[store.StoreCall] = []
        self.reply: store.StoreReply | None = None
        self.read_cells: dict = {}
        self.read_authors: dict = {}
        self.late: list[store.StoreCall] = []
        self.last: table_codec.Edit | None = None
        self.number = 0
        self.look()

    def look(self) -> None:
        self.seen = dict(self.fake.cells)
        self.base = len(self.fake.landed)

    def act(self, fault: str, row: int, column: int, number: int) -> None:
        if self.calls:
            self.execute(fault)
        elif self.reply is not None:
            reply, self.reply = self.reply, None
            self.calls = self.editor.handle_reply(reply, now=0.0)
            assert not self.editor.handle_reply(reply, now=0.0)
            self.check()
        elif self.editor.retry_at is not None:
            self.calls = self.editor.handle_time(now=self.editor.retry_at)
        elif number == 0 and self.last is not None:
            self.calls = self.editor.submit([self.last])
        else:
            self.start(row, column, number)

    def start(self, row: int, column: int, number: int) -> None:
        key = MODEL_ROWS[row].row_key
        code = MODEL_COLUMNS[column]
        old = self.seen[key, code]
        self.number += 1
        self.last = table_codec.Edit(
            author=self.name,
            write_id=f"{self.name}{self.number}",
            time=EDIT_TIME,
            change=table_codec.SetCell(key, code, old, str(number)),
            base_revision=self.base,
        )
        self.fake.intents[self.last.write_id] = self.last
        self.calls = self.editor.submit([self.last])

    def execute(self, fault: str) -> None:
        call = self.calls.pop()
        if fault in {"ok", "done"}:
            self.reply = self.fake.carry_out(call)
            if call.operation is store.StoreOperation.GET:
                self.read_cells = dict(self.fake.cells)
                self.read_authors = dict(self.fake.authors)
        if fault == "ok":
            return
        if fault == "late":
            self.late.append(call)
        outcomes = {
            "throttled": store.StoreOutcome.THROTTLED,
            "unavailable": store.StoreOutcome.UNAVAILABLE,
        }
        self.reply = store.StoreReply(
            call_id=call.call_id,
            outcome=outcomes.get(fault, store.StoreOutcome.UNKNOWN),
        )

    def check(self) -> None:
        end = self.editor.outcome
        if end is None:
            return
        write_id = self.last.write_id
        if isinstance(end, table_edit.Applied):
            assert self.fake.landed.get(write_id) == end.revision
            self.look()
            return
        change = self.last.change
        cell = (change.row_key, change.column)
        if end.conflict is not None:
            assert self.read_cells[cell] != change.old, "needless refusal"
            assert end.conflict.present == self.read_cells[cell]
            assert end.conflict.set_by == self.read_authors.get(cell, "")
            assert end.conflict.wanted == change.new
        if end.problem.run_state is errors.RunState.NOT_RUN:
            self.land_late()
            assert write_id not in self.fake.landed, "ran, yet said not run"
        self.look()

    def land_late(self) -> None:
        while self.late:
            self.fake.carry_out(self.late.pop(0))


def run_operators(actions) -> None:
    fake = FakeStore()
    operators = [Operator(name, fake) for name in ("anna", "ken", "pilot")]
    for who, fault, row, column, number in actions:
        operators[who].act(fault, row, column, number)
        if number == 3:
            operators[who].land_late()
    for operator in operators:
        while operator.editor.outcome is None and operator.last is not None:
            operator.act("ok", 0, 0, 0)
        operator.land_late()
    assert (
        len(fake.landed) == table_codec.decode_table(fake.value).table.revision
    )


@behave.then(
    "{count:d} runs of table operators with lost replies, conflicts and "
    "repeats agree with a serial model"
)
def compare_with_model(context: runner.Context, count: int) -> None:
    action = strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(FAULTS),
        strategies.integers(0, 1),
        strategies.integers(0, 1),
        strategies.integers(0, 6),
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(action, min_size=20, max_size=80))
    def compare(actions) -> None:
        run_operators(actions)

    compare()


def edit_with_faults(first: str, later: str) -> table_edit.Refusal:
    """Returns how an edit ends whose writes meet these faults."""
    operator = Operator("anna", FakeStore())
    operator.act("ok", 0, 0, 1)
    fault = first
    while operator.editor.outcome is None:
        is_write = operator.calls and (
            operator.calls[0].operation is store.StoreOperation.PUT
        )
        operator.act(fault if is_write else "ok", 0, 0, 1)
        if is_write:
            fault = later
    return operator.editor.outcome


@behave.when("a table edit's writes are all {fault:w}")
def fail_writes(context: runner.Context, fault: str) -> None:
    context.end = edit_with_faults(fault, fault)


@behave.when("a table edit's first write is late and the store then throttles")
def delay_write(context: runner.Context) -> None:
    context.end = edit_with_faults("late", "throttled")


@behave.then("the table edit ends as {code:w} with run state {state:w}")
def check_end(context: runner.Context, code: str, state: str) -> None:
    assert context.end.problem.code == code, context.end
    assert context.end.problem.run_state == state, context.end


# Input.


@behave.when("{typed} is typed into table column {code:w}")
def type_cell(context: runner.Context, typed: str, code: str) -> None:
    try:
        context.cell = table_input.normalise_cell(
            table_input.parse_column(code), json.loads(typed)
        )
        context.fault = None
    except table_input.CellError as error:
        context.fault = error.fault


@behave.then("the table cell reads {cell}")
def check_typed(context: runner.Context, cell: str) -> None:
    assert context.fault is None, context.fault
    assert context.cell == json.loads(cell), context.cell


@behave.then("the table {part:w} is refused as {fault:w}")
def check_fault(context: runner.Context, part: str, fault: str) -> None:
    assert context.fault == fault, context.fault


@behave.when("the table names {there} and someone adds {typed}")
def add_name(context: runner.Context, there: str, typed: str) -> None:
    row = dataclasses.replace(HALL, organisation=json.loads(there))
    fresh = dataclasses.replace(HALL, organisation=json.loads(typed))
    context.fault = None
    try:
        table_input.check_names(fresh.row_key, [row.row_key])
    except table_input.CellError as error:
        context.fault = error.fault


@behave.then("the table name is accepted")
def check_name(context: runner.Context) -> None:
    assert context.fault is None, context.fault


@behave.then(
    "each table heading, error code and cell fault has a text in each language"
)
def check_texts(context: runner.Context) -> None:
    assert set(texts.HEADINGS) == set(table.Column)
    assert set(texts.PROBLEMS) == set(errors.ErrorCode)
    assert set(table_input.REMEDIES) == set(table_input.CellFault)
    for language in texts.Language:
        for code in errors.ErrorCode:
            text = texts.PROBLEMS[code]
            said = texts.describe(
                errors.Problem(code=code, detail="x"), language
            )
            assert text.message.pick(language) in said
            assert text.remedy.pick(language) in said
        for group in (texts.HEADINGS, table_input.REMEDIES):
            assert all(text.pick(language) for text in group.values())


# Text forms.

names = strategies.text(
    alphabet="aZ9äß線ー,;\"'\t =.-　ﾂ", min_size=1, max_size=8
)


@strategies.composite
def draw_row(draw) -> table.Row:
    cells = {column: "Y" + draw(names) + "x" for column in table.KEY_COLUMNS}
    cells[table.Column.CLASSES] = draw(
        strategies.sampled_from(["", "chat", "chat tag"])
    )
    cells[table.Column.STATUS] = draw(
        strategies.sampled_from(["ok", "held", "stage:5"])
    )
    for column, (lowest, highest) in table_input.NUMBER_RANGES.items():
        cells[column] = str(draw(strategies.integers(lowest, highest)))
    try:
        return table_input.build_row(cells)
    except table_input.CellError:
        hypothesis.reject()


@behave.then("{count:d} tables come back the same from table export {form:w}")
def round_trip(context: runner.Context, count: int, form: str) -> None:
    kind = table_text.ExportFormat(form)

    @trials.repeat(count)
    @hypothesis.given(
        strategies.lists(draw_row(), unique_by=lambda r: r.row_key, max_size=4)
    )
    def compare(rows) -> None:
        value = make_stored(rows, 1).table
        back = table_text.parse_rows(table_text.export_table(value, kind), kind)
        assert back == value.rows
        assert not table_text.compare_rows(value, back)

    compare()


@behave.then("the table columns start at the same place in each language")
def check_alignment(context: runner.Context) -> None:
    for language in texts.Language:
        grid = table_text.render_table(context.stored.table, language)
        starts = set()
        for line, row in zip(
            grid.splitlines()[2:], context.stored.table.rows, strict=True
        ):
            head = line[: line.index(row.model)]
            starts.add(sum(2 if sign >= "\u2e80" else 1 for sign in head))
        assert starts == {len("TC Innsbruck") + 2}, starts


@behave.then("the table codes are the same in each language")
def check_codes(context: runner.Context) -> None:
    grids = [
        table_text.render_table(context.stored.table, language).splitlines()
        for language in texts.Language
    ]
    codes = {tuple(grid[0].split()) for grid in grids}
    assert codes == {tuple(table.Column)}
    assert len({grid[1] for grid in grids}) == len(texts.Language)


@behave.when(
    "the table export has weight_points {new} for {old} and is imported"
)
def import_change(context: runner.Context, new: str, old: str) -> None:
    kind = table_text.ExportFormat.CSV
    exported = table_text.export_table(context.stored.table, kind)
    rows = table_text.parse_rows(exported.replace(f",{old},", f",{new},"), kind)
    context.changes = table_text.compare_rows(context.stored.table, rows)


@behave.then("the table changes are: {line}")
def check_changes(context: runner.Context, line: str) -> None:
    assert [table_text.describe_change(c) for c in context.changes] == [line]


@behave.when("the table export is imported with {damage}")
def import_damaged(context: runner.Context, damage: str) -> None:
    kind = table_text.ExportFormat.CSV
    exported = table_text.export_table(context.stored.table, kind)
    damaged = {
        "a column missing": re.sub("(?m),[^,]*$", "", exported),
        "a row twice": exported + exported.splitlines()[1] + "\n",
        "a cell emptied": exported.replace(",100,", ",,"),
    }[damage]
    context.fault = None
    try:
        table_text.parse_rows(damaged, kind)
    except table_input.CellError as error:
        context.fault = error.fault


# Commands, against a small HTTP fake of the object API and the hosts.


class FakePlatform:
    def __init__(self) -> None:
        self.objects: dict[str, store.StoredObject] = {}
        self.lags: dict[str, int] = {}
        self.loses_answer = False
        self.reads_lost = 0
        self.puts = 0
        self.url = ""
        self.ready = threading.Event()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        app = aiohttp.web.Application()
        app.router.add_get("/objects/{key}", self.get)
        app.router.add_put("/objects/{key}", self.put)
        app.router.add_get("/hosts", self.list_hosts)
        app.router.add_get("/{name}/status", self.tell_status)
        web_runner = aiohttp.web.AppRunner(app, access_log=None)
        self.loop.run_until_complete(web_runner.setup())
        site = aiohttp.web.TCPSite(web_runner, "127.0.0.1", 0)
        self.loop.run_until_complete(site.start())
        host, port = web_runner.addresses[0][:2]
        self.url = f"http://{host}:{port}"
        self.ready.set()
        self.loop.run_forever()
        self.loop.run_until_complete(web_runner.cleanup())
        self.loop.close()

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    async def get(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        found = self.objects.get(request.match_info["key"])
        if self.reads_lost > 0:
            self.reads_lost -= 1
            request.transport.close()
        if found is None:
            return aiohttp.web.Response(status=404)
        tag = {"ETag": f'"{found.version}"'}
        return aiohttp.web.Response(body=found.value, headers=tag)

    async def put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        key = request.match_info["key"]
        self.puts += 1
        found = self.objects.get(key)
        there = f'"{found.version}"' if found else None
        if request.headers.get("If-Match") != there:
            return aiohttp.web.Response(status=412)
        version = found.version + 1 if found else 1
        value = await request.read()
        self.objects[key] = store.StoredObject(key, version, value)
        if self.loses_answer:
            self.loses_answer = False
            request.transport.close()
        return aiohttp.web.Response(headers={"ETag": f'"{version}"'})

    async def list_hosts(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        hosts = [
            {
                "name": name,
                "role": "entry",
                "http_address": f"{request.host}/{name}",
                "state": "live",
            }
            for name in self.lags
        ]
        hosts.append({"name": "runner-1", "role": "upstream"})
        return aiohttp.web.json_response({"hosts": hosts})

    async def tell_status(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        name = request.match_info["name"]
        self.lags[name] -= 1
        revision = self.read().table.revision if self.lags[name] < 0 else 1
        return aiohttp.web.json_response(
            {
                "table_revision": revision,
                "sidecars": {f"sidecar-{name}": revision},
            }
        )

    def read(self) -> table_codec.StoredTable:
        return table_codec.decode_table(self.objects["table"].value)


@behave.given("a table store served over HTTP with one row")
def serve(context: runner.Context) -> None:
    platform = FakePlatform()
    value = table_codec.encode_table(make_stored([HALL], 1))
    platform.objects["table"] = store.StoredObject("table", 1, value)
    platform.thread.start()
    platform.ready.wait()
    context.stack.callback(platform.stop)
    context.platform = platform


@behave.given(
    "table edits reach entry-1 after {first:d} polls and entry-2 after "
    "{second:d} polls"
)
def set_lags(context: runner.Context, first: int, second: int) -> None:
    context.platform.lags = {"entry-1": first, "entry-2": second}


@behave.given("the table store drops the response to the next write")
def lose_answer(context: runner.Context) -> None:
    context.platform.loses_answer = True


@behave.given("the table store drops the responses to the next {count:d} reads")
def lose_reads(context: runner.Context, count: int) -> None:
    context.platform.reads_lost = count


@behave.when("the table command is: {arguments}")
def run_command(context: runner.Context, arguments: str) -> None:
    context.output = io.StringIO()
    commands = table_commands.TableCommands(
        store_url=context.platform.url,
        hosts_url=context.platform.url,
        author="anna",
        timeout_s=2.0,
        output=context.output,
    )
    context.error = None
    try:
        fire.Fire(commands.commands(), command=shlex.split(arguments))
    except errors.RhubarbbankError as error:
        context.error = error


@behave.when("the table is exported to a file and imported again")
def export_and_import(context: runner.Context) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / "table.tsv"
    run_command(context, f"export {path} --form tsv")
    assert "TC Hall\tplan\t1.10\t" in path.read_text(encoding="utf-8")
    run_command(context, f"import {path} --form tsv")


@behave.then('the table command prints "{line}"')
def check_printed(context: runner.Context, line: str) -> None:
    assert context.error is None, context.error
    assert line in context.output.getvalue(), context.output.getvalue()


@behave.then('the table command fails with {code:w} naming "{naming}"')
def check_failed(context: runner.Context, code: str, naming: str) -> None:
    assert context.error is not None, context.output.getvalue()
    assert context.error.problem.code == code, context.error
    assert naming in str(context.error), context.error


@behave.then("the stored table is at revision {revision:d}")
def check_stored(context: runner.Context, revision: int) -> None:
    assert context.platform.read().table.revision == revision


@behave.then("the table store received {count:d} write")
@behave.then("the table store received {count:d} writes")
def check_writes(context: runner.Context, count: int) -> None:
    assert context.platform.puts == count, context.platform.puts
