"""Commands of `rhubarbbank table`, which show and edit the operators' table.

Commands access the table only through the object API, and edit it with the
same `table_editor.TableEditor` that the system uses for status cells. With
`--wait`, a command then polls each live entry's status until the accepted
revision is in force there and on the sidecars that the entry reports.
Every failure is an `errors.RhubarbbankError` in the operator's language.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime as dt
import pathlib
import random
import sys
import time
import typing
import uuid

import aiohttp
from fire import decorators

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
from rhubarbbank_entry import table_confirmation
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import store_http

CONFIRMATION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.25
# Equals the total back-off of `TableEditor`, so that a command doesn't give up
# on its first read while its edit could still succeed.
READ_TIMEOUT_S = 8.0
MIN_READ_RETRY_S = 0.1
MAX_READ_RETRY_S = 1.0
IN_FORCE = texts.Text(
    "Revision {revision} is in force everywhere.",
    "Stand {revision} gilt überall.",
    "改訂{revision}はすべての場所で有効です。",
)
ACCEPTED = texts.Text(
    "Accepted as revision {revision}.",
    "Als Stand {revision} angenommen.",
    "改訂{revision}として受け付けました。",
)
NO_CHANGE = texts.Text(
    "Nothing to change.", "Nichts zu ändern.", "変更はありません。"
)
UNCONFIRMED = texts.Text(
    "Still behind: {names}",
    "Noch nicht bestätigt: {names}",
    "未反映: {names}",
)
WAIT_REMEDY = texts.Text(
    "The edit was accepted; check again later with `table show`.",
    "Die Änderung gilt; sehen Sie später mit `table show` nach.",
    "変更は受け付け済みです。後で`table show`で確認してください。",
)


Plan = collections.abc.Callable[[table.Table], list[table_codec.Change]]


def parse_flag(text: str) -> bool:
    """Parses a flag; `fire` passes a flag without a value as "True"."""
    return text.strip().lower() in {"true", "1", "yes"}


Command = typing.TypeVar("Command", bound=collections.abc.Callable[..., None])


def parse_as_text(command: Command) -> Command:
    """Makes `fire` pass arguments as strings, except the flag `wait`."""
    decorators.SetParseFn(str)(command)
    decorators.SetParseFns(wait=parse_flag)(command)
    return command


def parse_language(text: str) -> texts.Language:
    """Parses a language code.

    Raises:
        errors.RhubarbbankError: The code is unknown.
    """
    try:
        return texts.Language(text.strip().lower())
    except ValueError as error:
        raise errors.RhubarbbankError(
            problem=errors.Problem(
                code=errors.ErrorCode.BAD_SETTINGS,
                detail=f"language {text!r}",
            ),
            remedy=f"Use one of {', '.join(texts.Language)}.",
        ) from error


class TableCommands:
    """Commands under `rhubarbbank table`.

    Arguments stay strings: `fire` would parse version 1.10 as the number 1.1.

    Attributes:
        store_url: Base URL of the object API.
        hosts_url: Base URL of the host list, for `--wait`.
        language: Language of messages.
        author: Name recorded in the edit history.
        client_name: Name under which the store counts the calls.
        timeout_s: Timeout of `--wait`, in seconds.
        output: Stream to which commands print.
    """

    def __init__(
        self,
        *,
        store_url: str,
        hosts_url: str = "",
        language: str = texts.Language.EN.value,
        author: str = "operator",
        client_name: str = "rhubarbbank-table",
        timeout_s: float = CONFIRMATION_TIMEOUT_S,
        output: typing.TextIO | None = None,
    ) -> None:
        self.store_url = store_url
        self.hosts_url = hosts_url.rstrip("/")
        self.language = parse_language(language)
        with self.translate_errors():
            self.author = table_input.normalise_text(author, subject="author")
        self.client_name = client_name
        self.timeout_s = timeout_s
        self.output = output or sys.stdout

    @parse_as_text
    def show(self, organisation: str | None = None) -> None:
        """Prints the table, or one organisation's rows."""
        stored = asyncio.run(self.load())
        shown = stored.table
        if organisation is not None:
            name = self.normalise(table.Column.ORGANISATION, organisation)
            rows = tuple(row for row in shown.rows if row.organisation == name)
            shown = table.Table(revision=shown.revision, rows=rows)
        self.print_line(table_text.render_table(shown, self.language))
        self.print_line(f"revision {shown.revision}")

    def history(self) -> None:
        """Prints the most recent edits, oldest first."""
        stored = asyncio.run(self.load())
        self.print_line(
            table_text.render_history(stored.history, self.language)
        )

    @parse_as_text
    def set(
        self,
        organisation: str,
        model: str,
        version: str,
        column: str,
        value: str,
        *,
        expected: str | None = None,
        wait: bool = False,
    ) -> None:
        """Sets one cell.

        Args:
            organisation: The row's organisation.
            model: The row's model.
            version: The row's version.
            column: The column's code.
            value: The new value.
            expected: The value that the edit replaces; the edit is refused if
                the cell holds another. Defaults to the value that the command
                reads at its start.
            wait: Whether to wait until the edit is in force everywhere.
        """
        with self.translate_errors():
            code = table_input.parse_column(str(column))
            if code in table.KEY_COLUMNS:
                raise table_input.CellError(
                    fault=table_input.CellFault.KEY_COLUMN, subject=code
                )
        row_key = self.parse_key(organisation, model, version)
        new = self.normalise(code, value)

        def plan(current: table.Table) -> list[table_codec.Change]:
            old = expected
            row = self.find_row(current, row_key)
            if old is None:
                old = table_input.read_cell(row, code)
            normalised = self.normalise(code, old)
            return [table_codec.SetCell(row_key, code, normalised, new)]

        asyncio.run(self.edit(plan, wait=wait))

    @parse_as_text
    def add(
        self,
        organisation: str,
        model: str,
        version: str,
        *,
        wait: bool = False,
        **cells: str,
    ) -> None:
        """Adds a row; cells are given by column code, or get their defaults."""
        with self.translate_errors():
            given_cells = {
                table_input.parse_column(code): str(text)
                for code, text in cells.items()
            }
            row = table_input.build_row(
                {
                    **given_cells,
                    table.Column.ORGANISATION: str(organisation),
                    table.Column.MODEL: str(model),
                    table.Column.VERSION: str(version),
                }
            )
        asyncio.run(self.edit(lambda _: [table_codec.AddRow(row)], wait=wait))

    @parse_as_text
    def remove(
        self,
        organisation: str,
        model: str,
        version: str,
        *,
        wait: bool = False,
    ) -> None:
        """Removes a row."""
        row_key = self.parse_key(organisation, model, version)

        def plan(current: table.Table) -> list[table_codec.Change]:
            return [table_codec.RemoveRow(self.find_row(current, row_key))]

        asyncio.run(self.edit(plan, wait=wait))

    @parse_as_text
    def export(self, path: str = "-", *, form: str = "csv") -> None:
        """Writes the table as CSV or TSV to a file, or to output for "-"."""
        stored = asyncio.run(self.load())
        text = table_text.export_table(stored.table, self.parse_format(form))
        if path == "-":
            self.output.write(text)
            return
        pathlib.Path(path).write_text(text, encoding="utf-8", newline="")

    @parse_as_text
    def import_(
        self, path: str, *, form: str = "csv", wait: bool = False
    ) -> None:
        """Edits the table so that its rows are those of the file."""
        text = self.read_file(path)
        with self.translate_errors():
            rows = table_text.parse_rows(text, self.parse_format(form))
        asyncio.run(
            self.edit(
                lambda current: table_text.compare_rows(current, rows),
                wait=wait,
            )
        )

    def commands(
        self,
    ) -> dict[str, collections.abc.Callable[..., None]]:
        """Returns the commands by their names on the command line."""
        return {
            "show": self.show,
            "set": self.set,
            "add": self.add,
            "remove": self.remove,
            "history": self.history,
            "export": self.export,
            "import": self.import_,
        }

    def print_line(self, line: str) -> None:
        """Prints a line to the output."""
        print(line, file=self.output, flush=True)

    def open_session(self) -> aiohttp.ClientSession:
        """Opens an HTTP session, which sends each request only once."""
        return aiohttp.ClientSession(middlewares=(http_once.send_once,))

    def open_store(
        self, session: aiohttp.ClientSession
    ) -> store_http.StoreHttp:
        """Returns a client of the object API that uses the session."""
        return store_http.StoreHttp(
            url=self.store_url.rstrip("/"),
            session=session,
            client=self.client_name,
        )

    def build_error(
        self, problem: errors.Problem, remedy: str | None = None
    ) -> errors.RhubarbbankError:
        """Returns the error for a problem, in the operator's language."""
        text = texts.PROBLEMS[problem.code]
        message = text.message.pick(self.language)
        detail = f"{message} [{problem.detail}]" if problem.detail else message
        return errors.RhubarbbankError(
            problem=dataclasses.replace(problem, detail=detail),
            remedy=remedy or text.remedy.pick(self.language),
        )

    @contextlib.contextmanager
    def translate_errors(self) -> collections.abc.Iterator[None]:
        """Translates a `CellError` into an error in the operator's language."""
        try:
            yield
        except table_input.CellError as error:
            raise self.build_error(
                error.problem,
                table_input.REMEDIES[error.fault].pick(self.language),
            ) from error

    def normalise(self, column: table.Column, text: str) -> str:
        """Returns the canonical text of a cell."""
        with self.translate_errors():
            return table_input.normalise_cell(column, str(text))

    def parse_key(
        self, organisation: str, model: str, version: str
    ) -> table.RowKey:
        """Returns the key of a row, with normalised names."""
        return table.RowKey(
            self.normalise(table.Column.ORGANISATION, organisation),
            self.normalise(table.Column.MODEL, model),
            self.normalise(table.Column.VERSION, version),
        )

    def parse_format(self, form: str) -> table_text.ExportFormat:
        """Parses the value of `--form`."""
        try:
            return table_text.ExportFormat(form.lower())
        except ValueError as error:
            raise self.build_error(
                errors.Problem(
                    code=errors.ErrorCode.BAD_REQUEST,
                    detail=f"--form {form}: csv, tsv",
                )
            ) from error

    def read_file(self, path: str) -> str:
        """Reads a UTF-8 file, with or without a byte order mark."""
        try:
            return pathlib.Path(path).read_bytes().decode("utf-8-sig")
        except (OSError, UnicodeDecodeError) as error:
            code = errors.ErrorCode.BAD_REQUEST
            if isinstance(error, FileNotFoundError):
                code = errors.ErrorCode.NOT_FOUND
            raise self.build_error(
                errors.Problem(code=code, detail=f"{path}: {error}")
            ) from error

    def find_row(self, value: table.Table, row_key: table.RowKey) -> table.Row:
        """Returns a row of the table.

        Raises:
            errors.RhubarbbankError: The row doesn't exist; names a similar row
                if `table_input.check_names` finds one.
        """
        row = value.find(
            row_key.organisation,
            table.VersionKey(row_key.model, row_key.version),
        )
        if row is not None:
            return row
        with self.translate_errors():
            table_input.check_names(
                row_key, [other.row_key for other in value.rows]
            )
        raise self.build_error(
            errors.Problem(code=errors.ErrorCode.NOT_FOUND, detail=str(row_key))
        )

    async def load(self) -> table_codec.StoredTable:
        """Returns the table that the store holds."""
        async with self.open_session() as session:
            return await self.read_table(self.open_store(session))

    async def read_table(
        self, client: store_http.StoreHttp
    ) -> table_codec.StoredTable:
        """Reads the table, with retries; a missing table counts as empty.

        Raises:
            errors.RhubarbbankError: STORE_UNAVAILABLE after `READ_TIMEOUT_S`;
                nothing was written.
        """
        call = store.StoreCall(
            call_id=0,
            operation=store.StoreOperation.GET,
            key=table_codec.TABLE_KEY,
        )
        deadline = time.monotonic() + READ_TIMEOUT_S
        pause_s = MIN_READ_RETRY_S
        while True:
            reply = await client.call(call)
            if reply.outcome is store.StoreOutcome.NOT_FOUND:
                return table_codec.EMPTY_STORED_TABLE
            if reply.objects:
                return table_codec.decode_table(reply.objects[0].value)
            if time.monotonic() + pause_s > deadline:
                break
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_READ_RETRY_S, 2.0 * pause_s)
        raise self.build_error(
            errors.Problem(
                code=errors.ErrorCode.STORE_UNAVAILABLE,
                detail=f"GET {table_codec.TABLE_KEY}: {reply.outcome}",
            )
        )

    async def edit(self, plan: Plan, *, wait: bool) -> None:
        """Submits the planned changes as one batch and prints the result."""
        if wait and not self.hosts_url:
            raise self.build_error(
                errors.Problem(
                    code=errors.ErrorCode.BAD_SETTINGS,
                    detail="--wait: hosts_url",
                )
            )
        async with self.open_session() as session:
            client = self.open_store(session)
            current = (await self.read_table(client)).table
            changes = plan(current)
            if not changes:
                self.print_line(NO_CHANGE.pick(self.language))
                return
            edits = self.build_edits(changes, current.revision)
            outcome = await run_editor(client, edits)
            if isinstance(outcome, table_edit.Refusal):
                raise self.build_refusal(outcome)
            accepted = ACCEPTED.pick(self.language)
            self.print_line(accepted.format(revision=outcome.revision))
            if wait:
                await self.wait_in_force(session, outcome.revision)

    def build_edits(
        self,
        changes: collections.abc.Iterable[table_codec.Change],
        base_revision: int,
    ) -> list[table_codec.Edit]:
        """Returns the changes as edits of this author with the current time."""
        batch = uuid.uuid4().hex
        now = dt.datetime.now(dt.UTC)
        return [
            table_codec.Edit(
                author=self.author,
                write_id=f"{batch}/{number}",
                time=now.strftime("%Y-%m-%dT%H:%M:%SZ"),
                change=change,
                base_revision=base_revision,
            )
            for number, change in enumerate(changes)
        ]

    def build_refusal(
        self, refusal: table_edit.Refusal
    ) -> errors.RhubarbbankError:
        """Returns the error for a refused edit; conflicts show both values."""
        message = texts.PROBLEMS[refusal.problem.code].message
        particulars = table_text.describe_particulars(refusal, self.language)
        problem = dataclasses.replace(
            refusal.problem,
            detail=f"{message.pick(self.language)} {particulars}",
        )
        return errors.RhubarbbankError(
            problem=problem,
            remedy=table_text.describe_remedy(refusal, self.language),
        )

    async def wait_in_force(
        self, session: aiohttp.ClientSession, revision: int
    ) -> None:
        """Polls until the revision is in force on each entry and sidecar.

        Prints the names of those that lack it whenever they change.

        Raises:
            errors.RhubarbbankError: TABLE_NOT_CONFIRMED after `timeout_s`; the
                edit remains accepted.
        """
        deadline = time.monotonic() + self.timeout_s
        reported: list[str] = []
        confirmed: set[str] = set()
        while True:
            unconfirmed = await table_confirmation.find_unconfirmed(
                session, self.hosts_url, revision, confirmed
            )
            if not unconfirmed:
                line = IN_FORCE.pick(self.language)
                self.print_line(line.format(revision=revision))
                return
            if time.monotonic() >= deadline:
                break
            if unconfirmed != reported:
                line = UNCONFIRMED.pick(self.language)
                self.print_line(line.format(names=", ".join(unconfirmed)))
                reported = unconfirmed
            await asyncio.sleep(POLL_INTERVAL_S)
        raise self.build_error(
            errors.Problem(
                code=errors.ErrorCode.TABLE_NOT_CONFIRMED,
                run_state=errors.RunState.RAN,
                detail=f"revision {revision}: {', '.join(unconfirmed)}",
            ),
            WAIT_REMEDY.pick(self.language),
        )


async def run_editor(
    client: store_http.StoreHttp,
    edits: collections.abc.Sequence[table_codec.Edit],
) -> table_edit.Applied | table_edit.Refusal:
    """Runs a `TableEditor` over HTTP until the batch has an outcome."""
    editor = table_editor.TableEditor(
        calls=effects.CallIds(), randomness=random.Random()
    )
    calls = editor.submit(edits)
    while editor.outcome is None:
        if calls:
            reply = await client.call(calls[0])
            calls = editor.handle_reply(reply, now=time.monotonic())
            continue
        retry_at = editor.retry_at or time.monotonic()
        await asyncio.sleep(max(0.0, retry_at - time.monotonic()))
        calls = editor.handle_time(now=time.monotonic())
    return editor.outcome
