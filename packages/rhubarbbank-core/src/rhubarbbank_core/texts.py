"""Texts for people, in English, German and Japanese.

Codes, columns and numbers are the same in every language; only the wording
here differs. Every `errors.ErrorCode` has a message and a remedy, every
`table.Column` a heading. Whoever shows a problem calls `describe`.
"""

import dataclasses
import enum

from rhubarbbank_core import errors
from rhubarbbank_core import table


class Language(enum.StrEnum):
    """The languages of texts, as ISO 639-1 codes."""

    EN = "en"
    DE = "de"
    JA = "ja"


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """One text in each language."""

    en: str
    de: str
    ja: str

    def pick(self, language: Language) -> str:
        """Returns the wording in this language."""
        if language is Language.DE:
            return self.de
        if language is Language.JA:
            return self.ja
        return self.en


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemText:
    """What went wrong and what the reader can do about it."""

    message: Text
    remedy: Text


HEADINGS = {
    table.Column.ORGANISATION: Text("Organisation", "Organisation", "組織"),
    table.Column.MODEL: Text("Model", "Modell", "モデル"),
    table.Column.VERSION: Text("Version", "Version", "版"),
    table.Column.STATE: Text("State", "Zustand", "状態"),
    table.Column.CLASSES: Text("Classes", "Klassen", "種別"),
    table.Column.WEIGHT: Text("Weight", "Gewicht", "重み"),
    table.Column.PRIORITY: Text(
        "Priority (0 first)", "Vorrang (0 zuerst)", "優先度(0が最優先)"
    ),
    table.Column.REQUESTS_PER_MINUTE: Text(
        "Requests per minute", "Anfragen je Minute", "毎分要求数"
    ),
    table.Column.PRICE: Text(
        "Price (millicents per 1,000 tokens)",
        "Preis (Millicent je 1000 Token)",
        "単価(1000トークン当たりミリセント)",
    ),
    table.Column.QUALITY_TARGET: Text(
        "Quality target (per mille)", "Güteziel (Promille)", "品質目標(千分率)"
    ),
    table.Column.STATUS: Text("Status", "Status", "ステータス"),
}

RETRY_LATER = Text(
    "Send it again later.",
    "Senden Sie sie später erneut.",
    "しばらくしてから再送してください。",
)
ASK_OPERATOR = Text(
    "Ask the operators to change the table.",
    "Bitten Sie die Betreiber, die Tabelle zu ändern.",
    "運用担当者に表の変更を依頼してください。",
)
CHECK_RESULT = Text(
    "Check whether it took effect before you send it again.",
    "Prüfen Sie vor einem erneuten Senden, ob sie gewirkt hat.",
    "再送する前に、処理済みかどうか確認してください。",
)

PROBLEMS = {
    errors.ErrorCode.BAD_REQUEST: ProblemText(
        Text(
            "The request is malformed.",
            "Die Anfrage ist fehlerhaft.",
            "要求の形式が正しくありません。",
        ),
        Text(
            "Correct it and send it again.",
            "Berichtigen Sie sie und senden Sie sie erneut.",
            "修正して再送してください。",
        ),
    ),
    errors.ErrorCode.BODY_TOO_LARGE: ProblemText(
        Text(
            "The request body is too large.",
            "Der Inhalt der Anfrage ist zu groß.",
            "要求の本文が大きすぎます。",
        ),
        Text("Shorten it.", "Kürzen Sie ihn.", "短くしてください。"),
    ),
    errors.ErrorCode.UNKNOWN_ORGANISATION: ProblemText(
        Text(
            "The organisation is not in the table.",
            "Die Organisation steht nicht in der Tabelle.",
            "組織が表にありません。",
        ),
        ASK_OPERATOR,
    ),
    errors.ErrorCode.MODEL_NOT_ALLOWED: ProblemText(
        Text(
            "The organisation may not use this model or version.",
            "Die Organisation darf dieses Modell oder diese Version nicht "
            "nutzen.",
            "この組織はこのモデルまたは版を利用できません。",
        ),
        ASK_OPERATOR,
    ),
    errors.ErrorCode.VERSION_WITHDRAWN: ProblemText(
        Text(
            "The version has been withdrawn.",
            "Die Version wurde zurückgezogen.",
            "この版は提供を終了しました。",
        ),
        Text(
            "Use a version that is offered.",
            "Nutzen Sie eine angebotene Version.",
            "提供中の版を利用してください。",
        ),
    ),
    errors.ErrorCode.SESSION_VERSION_WITHDRAWN: ProblemText(
        Text(
            "The session's version has been withdrawn.",
            "Die Version dieser Sitzung wurde zurückgezogen.",
            "このセッションの版は提供を終了しました。",
        ),
        Text(
            "Start a new session.",
            "Beginnen Sie eine neue Sitzung.",
            "新しいセッションを開始してください。",
        ),
    ),
    errors.ErrorCode.SESSION_STATE_UNAVAILABLE: ProblemText(
        Text(
            "The session's version cannot be looked up at the moment.",
            "Die Version dieser Sitzung ist derzeit nicht feststellbar.",
            "このセッションの版を現在確認できません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.ALLOWANCE_EXHAUSTED: ProblemText(
        Text(
            "The organisation's allowance is used up.",
            "Das Kontingent der Organisation ist aufgebraucht.",
            "組織の割当量を使い切りました。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.ALLOWANCE_UNAVAILABLE: ProblemText(
        Text(
            "The organisation's allowance can't be looked up right now.",
            "Das Kontingent der Organisation ist gerade nicht abfragbar.",
            "現在、組織の割当量を照会できません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.OVERLOADED: ProblemText(
        Text(
            "All capacity is in use.",
            "Alle Kapazität ist belegt.",
            "処理能力がすべて使用中です。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.DEADLINE_UNREACHABLE: ProblemText(
        Text(
            "The answer cannot be ready by the deadline.",
            "Die Antwort kann nicht bis zur Frist fertig werden.",
            "期限までに応答できません。",
        ),
        Text(
            "Allow more time or send it again later.",
            "Geben Sie mehr Zeit oder senden Sie sie später erneut.",
            "期限を延ばすか、しばらくしてから再送してください。",
        ),
    ),
    errors.ErrorCode.DEADLINE_EXCEEDED: ProblemText(
        Text(
            "The deadline passed before the answer was complete.",
            "Die Frist verstrich, bevor die Antwort vollständig war.",
            "応答が完了する前に期限を過ぎました。",
        ),
        CHECK_RESULT,
    ),
    errors.ErrorCode.NO_UPSTREAM: ProblemText(
        Text(
            "No upstream serves this version at the moment.",
            "Derzeit bedient kein Upstream diese Version.",
            "現在この版を提供しているアップストリームがありません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.UPSTREAM_LEAVING: ProblemText(
        Text(
            "The upstream is leaving and takes no new work.",
            "Der Upstream wird abgemeldet und nimmt keine neue Arbeit an.",
            "アップストリームは離脱中で、新しい処理を受け付けません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.UPSTREAM_FAILED: ProblemText(
        Text(
            "The upstream reported a failure.",
            "Der Upstream meldete einen Fehler.",
            "アップストリームが失敗を報告しました。",
        ),
        CHECK_RESULT,
    ),
    errors.ErrorCode.UPSTREAM_LOST: ProblemText(
        Text(
            "The connection to the upstream was lost.",
            "Die Verbindung zum Upstream ging verloren.",
            "アップストリームとの接続が失われました。",
        ),
        CHECK_RESULT,
    ),
    errors.ErrorCode.CRASH_SUSPECT: ProblemText(
        Text(
            "Upstreams crashed while they ran this request.",
            "Upstreams sind bei dieser Anfrage abgestürzt.",
            "この要求の処理中にアップストリームが異常終了しました。",
        ),
        Text(
            "Change the request; do not send the same one again.",
            "Ändern Sie die Anfrage; senden Sie sie nicht unverändert.",
            "要求を変更してください。同じ要求は再送しないでください。",
        ),
    ),
    errors.ErrorCode.TABLE_NOT_CONFIRMED: ProblemText(
        Text(
            "The current table is not confirmed.",
            "Der aktuelle Stand der Tabelle ist nicht bestätigt.",
            "現在の表が確認できていません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.STORE_UNAVAILABLE: ProblemText(
        Text(
            "The platform's store cannot be used at the moment.",
            "Der Speicher der Plattform ist derzeit nicht nutzbar.",
            "プラットフォームのストアを現在利用できません。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.KEY_ALREADY_USED: ProblemText(
        Text(
            "The idempotency key belongs to another request.",
            "Der Idempotenzschlüssel gehört zu einer anderen Anfrage.",
            "この冪等キーは別の要求で使用済みです。",
        ),
        Text(
            "Use a new key for a new request.",
            "Nutzen Sie für eine neue Anfrage einen neuen Schlüssel.",
            "新しい要求には新しいキーを使用してください。",
        ),
    ),
    errors.ErrorCode.SHUTTING_DOWN: ProblemText(
        Text(
            "This process is shutting down.",
            "Dieser Prozess wird beendet.",
            "このプロセスは停止処理中です。",
        ),
        RETRY_LATER,
    ),
    errors.ErrorCode.EDIT_CONFLICT: ProblemText(
        Text(
            "The table was changed in the meantime.",
            "Die Tabelle wurde inzwischen geändert.",
            "その間に表が変更されました。",
        ),
        Text(
            "Read the table and decide which value holds.",
            "Lesen Sie die Tabelle und entscheiden Sie, welcher Wert gilt.",
            "表を確認し、どちらの値にするか決めてください。",
        ),
    ),
    errors.ErrorCode.BAD_CELL: ProblemText(
        Text(
            "The value does not fit the column.",
            "Der Wert passt nicht in die Spalte.",
            "値が列に合いません。",
        ),
        Text(
            "Correct the value and enter it again.",
            "Berichtigen Sie den Wert und geben Sie ihn erneut ein.",
            "値を修正して再入力してください。",
        ),
    ),
    errors.ErrorCode.BAD_SETTINGS: ProblemText(
        Text(
            "The settings are not valid.",
            "Die Einstellungen sind ungültig.",
            "設定が正しくありません。",
        ),
        Text(
            "Correct the settings and start again.",
            "Berichtigen Sie die Einstellungen und starten Sie neu.",
            "設定を修正して再起動してください。",
        ),
    ),
    errors.ErrorCode.STALE_ORDER: ProblemText(
        Text(
            "The order carries an old fencing number.",
            "Der Auftrag trägt eine veraltete Fencing-Nummer.",
            "指示のフェンシング番号が古くなっています。",
        ),
        Text(
            "Read the current owner and let it give the order.",
            "Ermitteln Sie den jetzigen Inhaber; er gibt den Auftrag.",
            "現在の所有者を確認し、そこから指示してください。",
        ),
    ),
    errors.ErrorCode.NOT_FOUND: ProblemText(
        Text("It does not exist.", "Nicht vorhanden.", "存在しません。"),
        Text(
            "Check the name and its spelling.",
            "Prüfen Sie den Namen und die Schreibweise.",
            "名前と表記を確認してください。",
        ),
    ),
}


def describe(problem: errors.Problem, language: Language) -> str:
    """Returns one line: message, particulars and remedy."""
    text = PROBLEMS[problem.code]
    parts = [text.message.pick(language)]
    if problem.detail:
        parts.append(f"[{problem.detail}]")
    parts.append(text.remedy.pick(language))
    return " ".join(parts)
