"""Turns what operators type into canonical cells, or refuses it.

Input goes through Unicode NFKC first, so that full-width digits, composed and
decomposed letters and the ideographic space read the same. Then each column
has one form. What stays ambiguous is refused with a `CellError`, whose remedy
exists in each language: nothing is guessed. `table_edit`, `table_text` and
the commands share these functions.

Two names look alike when their skeletons meet. A skeleton is the case-folded
name with each confusable character replaced by one representative.
"""

import collections.abc
import dataclasses
import enum
import re
import unicodedata

from rhubarbbank_core import errors
from rhubarbbank_core import table
from rhubarbbank_core import texts

NAME_LIMIT_CHARACTERS = 64
CLASSES_LIMIT = 16

NUMBER_RANGES = {
    table.Column.WEIGHT: (0, 1_000),
    table.Column.PRIORITY: (0, 9),
    table.Column.REQUESTS_PER_MINUTE: (0, 1_000_000),
    table.Column.PRICE: (0, 1_000_000_000),
    table.Column.QUALITY_TARGET: (0, 1_000),
}
STATUS_PATTERN = re.compile(r"ok|held|stage:(0|[1-9][0-9]?|100)")
DECIMAL_COMMA_PATTERN = re.compile(r"[+-]?[0-9]+,([0-9]{1,2}|[0-9]{4,})")
SEPARATED_PATTERN = re.compile(r"[+-]?[0-9]{1,3}([.,' ’_٬][0-9]{3})+")
FRACTION_PATTERN = re.compile(r"[+-]?[0-9]*\.[0-9]+")
HIDDEN_CATEGORIES = frozenset({"Cc", "Cf", "Cn", "Co", "Cs"})

# Each pair of strings lists look-alikes and their representatives. Case
# folding comes first, so that a Cyrillic "в" stands for the capital "В".
CONFUSABLES = str.maketrans(
    "авекмнорстухіјѕԁԛԝһαβεζηικμνορτυχ01|ı‐‑‒–—―−ー一力口囗工二八夕卜へりべぺ",
    "abekmhopctyxijsdqwhabezhikmnoptyxolli---------カロロエニハタトヘリベペ",
)


class CellFault(enum.StrEnum):
    """Why a cell was refused."""

    EMPTY = "empty"
    HIDDEN_CHARACTER = "hidden_character"
    TOO_LONG = "too_long"
    NAME_START = "name_start"
    NAME_CHARACTER = "name_character"
    LOOKS_ALIKE = "looks_alike"
    DECIMAL_COMMA = "decimal_comma"
    SEPARATED = "separated"
    NOT_WHOLE = "not_whole"
    NOT_A_NUMBER = "not_a_number"
    OUT_OF_RANGE = "out_of_range"
    BAD_STATE = "bad_state"
    BAD_STATUS = "bad_status"
    TOO_MANY_CLASSES = "too_many_classes"
    UNKNOWN_COLUMN = "unknown_column"
    KEY_COLUMN = "key_column"
    STATUS_IS_SYSTEM = "status_is_system"
    TABLE_FULL = "table_full"
    REPEATED_ROW = "repeated_row"
    WRONG_COLUMNS = "wrong_columns"


REMEDIES = {
    CellFault.EMPTY: texts.Text(
        "Enter a value.", "Geben Sie einen Wert ein.", "値を入力してください。"
    ),
    CellFault.HIDDEN_CHARACTER: texts.Text(
        "Type it anew without invisible characters.",
        "Tippen Sie es neu, ohne unsichtbare Zeichen.",
        "見えない文字を含めずに入力し直してください。",
    ),
    CellFault.TOO_LONG: texts.Text(
        "Use at most 64 characters.",
        "Nutzen Sie höchstens 64 Zeichen.",
        "64文字以内にしてください。",
    ),
    CellFault.NAME_START: texts.Text(
        "Begin the name with a letter or digit.",
        "Beginnen Sie den Namen mit Buchstabe oder Ziffer.",
        "名前は文字か数字で始めてください。",
    ),
    CellFault.NAME_CHARACTER: texts.Text(
        "Leave out @ and line breaks.",
        "Lassen Sie @ und Zeilenumbrüche weg.",
        "@と改行は使わないでください。",
    ),
    CellFault.LOOKS_ALIKE: texts.Text(
        "Use the existing name, or one that differs visibly.",
        "Nutzen Sie den vorhandenen Namen oder einen deutlich anderen.",
        "既存の名前か、見た目が明確に異なる名前にしてください。",
    ),
    CellFault.DECIMAL_COMMA: texts.Text(
        "Enter a whole number without a comma, such as 15.",
        "Geben Sie eine ganze Zahl ohne Komma ein, etwa 15.",
        "15のように、コンマなしの整数で入力してください。",
    ),
    CellFault.SEPARATED: texts.Text(
        "Leave out the thousands separators, as in 1000.",
        "Lassen Sie Tausendertrennzeichen weg, wie in 1000.",
        "1000のように、桁区切りなしで入力してください。",
    ),
    CellFault.NOT_WHOLE: texts.Text(
        "Enter a whole number.",
        "Geben Sie eine ganze Zahl ein.",
        "整数で入力してください。",
    ),
    CellFault.NOT_A_NUMBER: texts.Text(
        "Enter digits 0 to 9 only.",
        "Geben Sie nur die Ziffern 0 bis 9 ein.",
        "0から9の数字だけで入力してください。",
    ),
    CellFault.OUT_OF_RANGE: texts.Text(
        "Enter a number within the range shown.",
        "Geben Sie eine Zahl im angezeigten Bereich ein.",
        "表示された範囲の数を入力してください。",
    ),
    CellFault.BAD_STATE: texts.Text(
        "Use offered, draining or withdrawn.",
        "Nutzen Sie offered, draining oder withdrawn.",
        "offered、draining、withdrawnのいずれかにしてください。",
    ),
    CellFault.BAD_STATUS: texts.Text(
        "Use ok, held or stage:0 to stage:100.",
        "Nutzen Sie ok, held oder stage:0 bis stage:100.",
        "ok、held、stage:0からstage:100のいずれかにしてください。",
    ),
    CellFault.TOO_MANY_CLASSES: texts.Text(
        "Enter at most 16 classes.",
        "Geben Sie höchstens 16 Klassen ein.",
        "種別は16個以内にしてください。",
    ),
    CellFault.UNKNOWN_COLUMN: texts.Text(
        "Use a column code as the table shows it.",
        "Nutzen Sie einen Spaltencode, wie ihn die Tabelle zeigt.",
        "表に示された列コードを使ってください。",
    ),
    CellFault.KEY_COLUMN: texts.Text(
        "Add a new row and remove the old one.",
        "Legen Sie eine neue Zeile an und entfernen Sie die alte.",
        "新しい行を追加し、古い行を削除してください。",
    ),
    CellFault.STATUS_IS_SYSTEM: texts.Text(
        "The system writes it; only held may be set back to ok.",
        "Das System schreibt ihn; nur held lässt sich auf ok setzen.",
        "システムが書き込む列です。heldからokへの変更だけ可能です。",
    ),
    CellFault.TABLE_FULL: texts.Text(
        "Remove rows that are no longer used first.",
        "Entfernen Sie zuerst nicht mehr genutzte Zeilen.",
        "先に使わない行を削除してください。",
    ),
    CellFault.REPEATED_ROW: texts.Text(
        "Keep one row for each organisation, model and version.",
        "Behalten Sie eine Zeile je Organisation, Modell und Version.",
        "組織、モデル、版の組ごとに1行だけにしてください。",
    ),
    CellFault.WRONG_COLUMNS: texts.Text(
        "Export the table and keep each of its columns.",
        "Exportieren Sie die Tabelle und behalten Sie alle Spalten.",
        "表をエクスポートし、すべての列を残してください。",
    ),
}


class CellError(errors.RhubarbbankError):
    """A cell that was refused.

    Attributes:
        fault: Why.
        subject: What it speaks of, such as the column and the value.
    """

    def __init__(self, *, fault: CellFault, subject: str) -> None:
        problem = errors.Problem(
            code=errors.ErrorCode.BAD_CELL, detail=f"{subject}: {fault}"
        )
        super().__init__(problem=problem, remedy=REMEDIES[fault].en)
        self.fault = fault
        self.subject = subject


def parse_column(text: str) -> table.Column:
    """Returns the column of a code, refusing an unknown one."""
    try:
        return table.Column(unicodedata.normalize("NFKC", text).strip().lower())
    except ValueError as error:
        raise CellError(fault=CellFault.UNKNOWN_COLUMN, subject=text) from error


def normalise_text(text: str, *, subject: str) -> str:
    """Returns NFKC text with single spaces, refusing hidden characters."""
    folded = unicodedata.normalize("NFKC", text).strip()
    for character in folded:
        if unicodedata.category(character) in HIDDEN_CATEGORIES:
            raise CellError(fault=CellFault.HIDDEN_CHARACTER, subject=subject)
    return " ".join(folded.split())


def normalise_name(text: str, *, subject: str) -> str:
    """Returns the canonical form of a name."""
    name = normalise_text(text, subject=subject)
    if not name:
        raise CellError(fault=CellFault.EMPTY, subject=subject)
    if len(name) > NAME_LIMIT_CHARACTERS:
        raise CellError(fault=CellFault.TOO_LONG, subject=subject)
    if not name[0].isalnum():
        raise CellError(fault=CellFault.NAME_START, subject=subject)
    if "@" in name:
        raise CellError(fault=CellFault.NAME_CHARACTER, subject=subject)
    return name


def has_odd_digit(text: str) -> bool:
    """Tells whether NFKC would turn a raised or circled digit into a plain one.

    Full-width digits are meant as digits; "5²" must not become 52.
    """
    return any(
        not character.isascii()
        and re.search("[0-9]", unicodedata.normalize("NFKC", character))
        and not unicodedata.decomposition(character).startswith("<wide>")
        for character in text
    )


def normalise_number(column: table.Column, text: str) -> int:
    """Returns the whole number of a cell within the column's range."""
    subject = f"{column} {text!r}"
    number = normalise_text(text, subject=subject)
    lowest, highest = NUMBER_RANGES[column]
    if not number:
        raise CellError(fault=CellFault.EMPTY, subject=subject)
    if DECIMAL_COMMA_PATTERN.fullmatch(number):
        raise CellError(fault=CellFault.DECIMAL_COMMA, subject=subject)
    if SEPARATED_PATTERN.fullmatch(number):
        raise CellError(fault=CellFault.SEPARATED, subject=subject)
    if FRACTION_PATTERN.fullmatch(number):
        raise CellError(fault=CellFault.NOT_WHOLE, subject=subject)
    if has_odd_digit(text) or not re.fullmatch("-?[0-9]{1,18}", number):
        raise CellError(fault=CellFault.NOT_A_NUMBER, subject=subject)
    if not lowest <= int(number) <= highest:
        raise CellError(
            fault=CellFault.OUT_OF_RANGE,
            subject=f"{subject} ({lowest}..{highest})",
        )
    return int(number)


def normalise_classes(text: str) -> tuple[str, ...]:
    """Returns the sorted class names of a cell, separated by spaces."""
    subject = f"{table.Column.CLASSES} {text!r}"
    cell = normalise_text(text, subject=subject)
    names = sorted(set(re.split(r"[ ,;、]+", cell)) - {""})
    if len(names) > CLASSES_LIMIT:
        raise CellError(fault=CellFault.TOO_MANY_CLASSES, subject=subject)
    return tuple(normalise_name(name, subject=subject) for name in names)


def normalise_cell(column: table.Column, text: str) -> str:
    """Returns the canonical text of a cell.

    Raises:
        CellError: The text is ambiguous or out of range.
    """
    subject = f"{column} {text!r}"
    if column in table.KEY_COLUMNS:
        return normalise_name(text, subject=subject)
    if column in NUMBER_RANGES:
        return str(normalise_number(column, text))
    if column is table.Column.CLASSES:
        return " ".join(normalise_classes(text))
    word = normalise_text(text, subject=subject).lower()
    if column is table.Column.STATE:
        if word not in set(table.VersionState):
            raise CellError(fault=CellFault.BAD_STATE, subject=subject)
        return word
    if not STATUS_PATTERN.fullmatch(word):
        raise CellError(fault=CellFault.BAD_STATUS, subject=subject)
    return word


def read_cell(row: table.Row, column: table.Column) -> str:
    """Returns the canonical text of one cell of a row."""
    texts_by_column = {
        table.Column.ORGANISATION: row.organisation,
        table.Column.MODEL: row.model,
        table.Column.VERSION: row.version,
        table.Column.STATE: row.state.value,
        table.Column.CLASSES: " ".join(row.classes),
        table.Column.WEIGHT: str(row.weight),
        table.Column.PRIORITY: str(row.priority),
        table.Column.REQUESTS_PER_MINUTE: str(row.requests_per_minute),
        table.Column.PRICE: str(row.price_per_1k_tokens),
        table.Column.QUALITY_TARGET: str(row.quality_target),
        table.Column.STATUS: row.status,
    }
    return texts_by_column[column]


def build_row(
    cells: collections.abc.Mapping[table.Column, str],
) -> table.Row:
    """Returns the row of these cells; a missing one is the default.

    Raises:
        CellError: A cell is refused, or a name is missing.
    """
    names = {
        column: normalise_cell(column, cells.get(column, ""))
        for column in table.KEY_COLUMNS
    }
    row = table.Row(
        organisation=names[table.Column.ORGANISATION],
        model=names[table.Column.MODEL],
        version=names[table.Column.VERSION],
    )
    for column, text in cells.items():
        if column not in table.KEY_COLUMNS:
            row = write_cell(row, column, text)
    return row


def write_cell(row: table.Row, column: table.Column, text: str) -> table.Row:
    """Returns the row with one cell set.

    Raises:
        CellError: The text is refused, or the column names the row.
    """
    if column in table.KEY_COLUMNS:
        raise CellError(fault=CellFault.KEY_COLUMN, subject=column)
    value = normalise_cell(column, text)
    if column is table.Column.STATE:
        return dataclasses.replace(row, state=table.VersionState(value))
    if column is table.Column.CLASSES:
        return dataclasses.replace(row, classes=tuple(value.split()))
    if column is table.Column.STATUS:
        return dataclasses.replace(row, status=value)
    return write_number(row, column, int(value))


def write_number(
    row: table.Row, column: table.Column, number: int
) -> table.Row:
    """Returns the row with one number set."""
    if column is table.Column.WEIGHT:
        return dataclasses.replace(row, weight=number)
    if column is table.Column.PRIORITY:
        return dataclasses.replace(row, priority=number)
    if column is table.Column.REQUESTS_PER_MINUTE:
        return dataclasses.replace(row, requests_per_minute=number)
    if column is table.Column.PRICE:
        return dataclasses.replace(row, price_per_1k_tokens=number)
    return dataclasses.replace(row, quality_target=number)


def compute_skeletons(name: str) -> frozenset[str]:
    """Returns the folded forms under which a name may be mistaken.

    A capital "I" passes for an "l" as well as being the case of "i", so a
    name has two forms.
    """
    plain = unicodedata.normalize("NFKC", name)
    return frozenset(
        unicodedata.normalize("NFKC", form.casefold()).translate(CONFUSABLES)
        for form in (plain, plain.replace("I", "l"))
    )


def find_look_alike(
    name: str, existing: collections.abc.Iterable[str]
) -> str | None:
    """Returns an existing other name that looks like this one, or None."""
    skeletons = compute_skeletons(name)
    for other in existing:
        if other != name and skeletons & compute_skeletons(other):
            return other
    return None


def check_names(
    row_key: table.RowKey,
    rows: collections.abc.Collection[table.RowKey],
) -> None:
    """Refuses a row whose names look like other names in the table.

    Raises:
        CellError: A name looks like an existing other one of its column.
    """
    versions = {row.version for row in rows if row.model == row_key.model}
    for name, existing in (
        (row_key.organisation, {row.organisation for row in rows}),
        (row_key.model, {row.model for row in rows}),
        (row_key.version, versions),
    ):
        # A name that stands in the table already was settled before.
        if name in existing:
            continue
        other = find_look_alike(name, sorted(existing))
        if other is not None:
            raise CellError(
                fault=CellFault.LOOKS_ALIKE, subject=f"{name} ~ {other}"
            )
