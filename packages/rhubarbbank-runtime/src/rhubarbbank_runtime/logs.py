"""Structured logging: one line of JSON per record, on standard output.

Records go through a bounded queue to a writer thread, so that a slow reader of
standard output never blocks the event loop. A token bucket limits their rate.
Dropped records are counted, and the count is logged.
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
    """One log line.

    Text fields are empty, and `attempt` is 0, where they don't apply.

    Attributes:
        time: Time of the record in UTC, ISO 8601.
        level: Name of the log level, such as INFO.
        logger: Name of the logger.
        message: The message; empty for a decision.
        decision: Name of the decision that is logged.
        request_id: The request that the decision is about.
        organisation: The organisation of the request.
        model: The model that the decision is about.
        version: The version of the model or service.
        upstream: Name of the upstream.
        reason: Why the decision was taken.
        attempt: Number of the attempt.
        inputs: Values that the decision was based on, by name.
        exception: The traceback of a logged exception.
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
    """Formats a log record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the JSON text of a record, without a line end."""
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
    """Queues records for the writer thread; drops and counts the excess.

    Attributes:
        bucket: Limits the rate of records.
        dropped: Records dropped since the last one that was queued.
    """

    def __init__(self, records: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(records)
        self.bucket = token_bucket.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES
        )
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged, as it isn't pickled."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record without blocking, or drops it."""
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
    """Returns the record that reports the number of dropped records."""
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
    """Configures the root logger to write JSON lines to standard output.

    Args:
        level: Lowest level that is written, such as INFO.
        lossless: Whether to write synchronously and drop nothing, which
            recorded event logs need in order to be replayed.
    """
    stdout_handler = logging.StreamHandler(sys.stdout)
    stdout_handler.setFormatter(JsonFormatter())
    if lossless:
        logging.basicConfig(level=level, handlers=[stdout_handler], force=True)
        return
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedQueueHandler(records)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    listener = logging.handlers.QueueListener(records, stdout_handler)
    listener.start()
    atexit.register(listener.stop)


def write_decision(decision: fx.LogDecision) -> None:
    """Logs a decision."""
    DECISION_LOG.info("decision", extra={"decision": decision})
