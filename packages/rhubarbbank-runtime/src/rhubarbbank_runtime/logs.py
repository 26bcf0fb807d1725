"""Logging: one JSON line an event, on standard output.

Lines go through a bounded queue to a thread of their own, so that a reader
that falls behind never holds up the event loop; a token bucket bounds their
number. Lines that are dropped are counted, and the count is logged.
"""

import atexit
import logging
import logging.handlers
import queue
import sys
import time

import msgspec

from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import token_bucket

MAX_QUEUED_LINES = 10_000
LINES_PER_S = 2_000.0
BURST_LINES = 8_000.0

DECISION_LOG = logging.getLogger("rhubarbbank.decision")


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """One line of the log.

    Attributes:
        time: ISO 8601, UTC.
        level: Such as INFO.
        logger: Who wrote it.
        message: The text, or empty for a decision.
        decision: The decision, or empty.
        request_id: Or empty.
        organisation: Or empty.
        model: Or empty.
        version: Or empty.
        upstream: Or empty.
        reason: Or empty.
        attempt: Or 0.
        inputs: What decided it, by name.
        exception: The traceback, or empty.
    """

    time: str
    level: str
    logger: str
    message: str = ""
    decision: str = ""
    request_id: str = ""
    organisation: str = ""
    model: str = ""
    version: str = ""
    upstream: str = ""
    reason: str = ""
    attempt: int = 0
    inputs: dict[str, str | int | float] = {}
    exception: str = ""


class JsonFormatter(logging.Formatter):
    """Writes a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line."""
        utc_time = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        timestamp = f"{utc_time}.{int(record.msecs):03d}Z"
        decision = getattr(record, "decision", None)
        if isinstance(decision, fx.LogDecision):
            line = LogLine(
                time=timestamp,
                level=record.levelname,
                logger=record.name,
                decision=decision.decision,
                request_id=decision.request_id,
                organisation=decision.organisation,
                model=decision.model,
                version=decision.version,
                upstream=decision.upstream,
                reason=decision.reason,
                attempt=decision.attempt,
                inputs=dict(decision.inputs),
            )
        else:
            line = LogLine(
                time=timestamp,
                level=record.levelname,
                logger=record.name,
                message=record.getMessage(),
                exception=self.formatException(record.exc_info)
                if record.exc_info
                else "",
            )
        return msgspec.json.encode(line).decode()


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hands records to the writing thread, or drops and counts them.

    Attributes:
        bucket: Bounds the number of lines.
        dropped: Lines dropped since the last one that was handed over.
    """

    def __init__(self, records: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(records)
        self.bucket = token_bucket.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES
        )
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record as it is: it stays in this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Hands a record over without waiting."""
        if not self.bucket.try_take(now=time.monotonic()):
            self.dropped += 1
            return
        try:
            if self.dropped:
                self.queue.put_nowait(build_dropped_record(self.dropped))
                self.dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def build_dropped_record(count: int) -> logging.LogRecord:
    """Returns the line that says how many lines were dropped."""
    return logging.LogRecord(
        name=__name__,
        level=logging.WARNING,
        pathname=__file__,
        lineno=0,
        msg="%d log lines dropped",
        args=(count,),
        exc_info=None,
    )


def configure(level: str, *, lossless: bool = False) -> None:
    """Sends all logs to standard output as JSON lines.

    Args:
        level: Least level that is written, such as INFO.
        lossless: Whether to wait for the reader and drop nothing; needed
            where events are recorded to be replayed.
    """
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(JsonFormatter())
    if lossless:
        logging.basicConfig(level=level, handlers=[writer], force=True)
        return
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedQueueHandler(records)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    listener = logging.handlers.QueueListener(records, writer)
    listener.start()
    atexit.register(listener.stop)


def write_decision(decision: fx.LogDecision) -> None:
    """Writes one line for a decision."""
    DECISION_LOG.info("decision", extra={"decision": decision})
