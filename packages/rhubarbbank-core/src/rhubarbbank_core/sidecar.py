"""The sidecar's reducer: the last checks before one upstream.

`SidecarReducer.step` takes one event and returns effects. A submit is checked
(stopping, table, freshness, deadline) and queued by the admission control; it
is checked again just before it is sent to the upstream, and its answer events
go back to the entry that submitted it. Only this reducer may report
`not_run`, and only for attempts that it hasn't sent to the upstream, or whose
request provably never left this host.
"""

import collections
import random

from rhubarbbank_core import admission
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import events
from rhubarbbank_core import gate
from rhubarbbank_core import held_records
from rhubarbbank_core import order_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar_attempts
from rhubarbbank_core import sidecar_control
from rhubarbbank_core import sidecar_ends
from rhubarbbank_core import sidecar_orders
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import wire

CHAT_PATH = "/v1/chat/completions"
INITIAL_SLOTS = 8
GAUGE_PERIOD_S = 1.0


class SidecarReducer:
    """One sidecar as a state machine without I/O.

    Attributes:
        identity: The identity of this process.
        control: Presence, table and freshness.
        attempts: Waiting, running and finished attempts.
        admission: Decides which attempts run, and in which order.
        held: Bills and pins kept on behalf of entries.
        rows: The table that this sidecar has adopted.
        load: The upstream's last load report.
        crashes: Assigns ids to the upstream's crashes.
        orders: Roll-out orders to the engine.
        isolated: Queue of crash suspects; each runs with nothing else.
        stopping: Whether a graceful stop has begun.
        stop_at: Deadline of a graceful stop, in seconds.
    """

    def __init__(
        self,
        *,
        identity: sidecar_control.SidecarIdentity,
        call_ids: effects.CallIds,
        rng: random.Random,
        serve_unconfirmed: bool = False,
        stop_grace_s: float = defaults.STOP_GRACE_S,
    ) -> None:
        self.identity = identity
        self.stop_grace_s = stop_grace_s
        self.control = sidecar_control.SidecarControl(
            identity=identity,
            call_ids=call_ids,
            rng=rng,
            serve_unconfirmed=serve_unconfirmed,
        )
        self.attempts = sidecar_attempts.AttemptStore()
        self.admission = admission.DeadlineAdmission(
            slots=INITIAL_SLOTS, rng=rng
        )
        self.held = held_records.HeldRecords()
        self.rows = table.EMPTY_TABLE
        self.load = path_messages.Load()
        self.crashes = sidecar_ends.CrashCounter(name=identity.name)
        self.orders = sidecar_orders.SidecarOrders(upstream=identity.upstream)
        self.isolated: collections.deque[sidecar_attempts.Attempt] = (
            collections.deque()
        )
        self.stopping = False
        self.stop_at = 0.0
        self.next_gauges_at = 0.0

    def step(self, *, now: float, event: events.AnyEvent) -> list[fx.Effect]:
        """Applies one event at time `now` (seconds); returns the effects."""
        match event:
            case events.MessageReceived(message):
                return self.handle_message(now, message)
            case events.UpstreamData():
                return self.forward(event)
            case events.UpstreamEnded():
                return self.end_attempt(now, event)
            case events.Ticked():
                return self.tick(now)
            case events.UpstreamObserved():
                return self.observe(now, event)
            case events.OrderEnded(order_id, status):
                out = self.orders.finish(
                    now=now, order_id=order_id, status=status
                )
                return out + self.announce_orders(now)
            case events.StopRequested(age_s):
                return self.stop(now, age_s=age_s)
            case _:
                return []

    def handle_message(
        self, now: float, message: wire.AnyMessage
    ) -> list[fx.Effect]:
        """Handles a message from another process."""
        match message:
            case path_messages.Submit():
                return self.submit(now, message)
            case path_messages.Cancel(request_id, number):
                return self.cancel(
                    now, sidecar_attempts.AttemptId(request_id, number)
                )
            case path_messages.Resend():
                return self.resend(message)
            case path_messages.Finish(request_id, number):
                self.attempts.confirm(
                    sidecar_attempts.AttemptId(request_id, number)
                )
                return []
            case path_messages.HoldRecord():
                return [*self.held.hold(message, now=now)]
            case path_messages.ReleaseRecord(key):
                self.held.release(key)
                return []
            case order_messages.FenceAnnounce(fence, reply_to):
                self.orders.raise_fence(fence)
                return [
                    *self.announce_orders(now),
                    self.control.build_row_update(reply_to),
                ]
            case order_messages.RolloutOrder():
                return self.handle_order(now, message)
            case _:
                return self.handle_control_message(now, message)

    def handle_control_message(
        self, now: float, message: wire.AnyMessage
    ) -> list[fx.Effect]:
        """Handles a coordination message, and adopts a new table."""
        step = self.control.handle_message(now=now, message=message)
        out: list[fx.Effect] = [
            effect
            for effect in step.effects
            if isinstance(effect, effects.Send)
        ]
        for event in step.events:
            if isinstance(event, table_sync_events.TableAdopted):
                self.rows = table_codec.decode_table(event.raw).table
                out.append(
                    fx.LogDecision(
                        decision="table_adopted",
                        reason=f"revision {event.revision}",
                    )
                )
        return out

    # Orders.

    def handle_order(
        self, now: float, message: order_messages.RolloutOrder
    ) -> list[fx.Effect]:
        """Handles a roll-out order unless plain service or stopping."""
        if self.identity.kind is requests.WorkKind.SERVICE or self.stopping:
            return []
        return [
            *self.orders.handle_order(
                message, active_versions=self.attempts.list_active_versions()
            ),
            *self.announce_orders(now),
            self.control.build_row_update(message.reply_to),
        ]

    def announce_orders(self, now: float) -> list[effects.Send]:
        """Announces the state of versions to entries if it changed."""
        return self.control.announce_orders(
            now=now, orders=self.orders.report()
        )

    # Submits.

    def submit(
        self, now: float, submit: path_messages.Submit
    ) -> list[fx.Effect]:
        """Checks and queues an attempt, or refuses it as not run."""
        accepted = path_messages.Accepted(submit.request_id, submit.attempt)
        attempt = sidecar_attempts.Attempt(submit=submit, arrived_at=now)
        known = self.attempts.find(attempt.id)
        if known is not None:
            return [effects.Send(submit.reply_to, known.end or accepted)]
        if submit.incarnation != self.identity.incarnation:
            unknown = path_messages.AttemptUnknown(*attempt.id.as_tuple)
            return [effects.Send(submit.reply_to, unknown)]
        problem = self.check_submit(now, submit) or self.check_unloading(submit)
        if problem is not None:
            return self.refuse(now, attempt, problem)
        if submit.alone:
            self.isolated.append(attempt)
            self.attempts.add_waiting(attempt)
            return [
                effects.Send(submit.reply_to, accepted),
                *self.start_waiting(now),
            ]
        decision = self.admission.admit(build_ticket(attempt), now=now)
        if isinstance(decision, admission.Shed):
            return self.refuse(now, attempt, build_shed_problem(decision))
        self.attempts.add_waiting(attempt)
        return [
            effects.Send(submit.reply_to, accepted),
            *self.start_waiting(now),
        ]

    def check_submit(
        self, now: float, submit: path_messages.Submit
    ) -> errors.Problem | None:
        """Returns why the attempt must not run here, or None."""
        if self.stopping:
            return errors.Problem(
                code=errors.ErrorCode.UPSTREAM_LEAVING,
                retry_after_s=defaults.RETRY_AFTER_S,
            )
        if submit.deadline_s <= 0:
            return errors.Problem(code=errors.ErrorCode.DEADLINE_EXCEEDED)
        problem = self.control.check_freshness(now=now)
        return problem or gate.check(
            rows=self.rows,
            organisation=submit.organisation,
            key=table.VersionKey(submit.model, submit.version),
            pinned=submit.pinned,
        )

    def check_unloading(
        self, submit: path_messages.Submit
    ) -> errors.Problem | None:
        """Returns the problem if the attempt's version is unloading."""
        key = table.VersionKey(submit.model, submit.version)
        if not self.orders.is_unloading(key):
            return None
        return errors.Problem(
            code=errors.ErrorCode.UPSTREAM_LEAVING,
            retry_after_s=defaults.RETRY_AFTER_S,
        )

    def start_waiting(self, now: float) -> list[fx.Effect]:
        """Starts attempts that may run, and sheds those that are late."""
        out = self.start_isolated(now)
        if not self.isolated:
            for ticket in self.admission.start(now=now):
                out += self.start_admitted(now, ticket)
        for shed in self.admission.shed(now=now):
            out += self.refuse_waiting(
                now,
                sidecar_attempts.parse_attempt_id(shed.request_id),
                build_shed_problem(shed),
            )
        return out

    def start_isolated(self, now: float) -> list[fx.Effect]:
        """Starts the next crash suspect once nothing else is running.

        Suspects run one at a time; other attempts start only after the
        queue of suspects is empty.
        """
        out: list[fx.Effect] = []
        while self.isolated and not self.attempts.running:
            attempt = self.isolated[0]
            if attempt.id in self.attempts.waiting:
                out += self.start_attempt(now, attempt)
            if not self.attempts.running and self.isolated:
                self.isolated.popleft()
        return out

    def start_admitted(
        self, now: float, ticket: admission.Ticket
    ) -> list[fx.Effect]:
        """Starts an attempt that the admission control selected."""
        attempt_id = sidecar_attempts.parse_attempt_id(ticket.request_id)
        attempt = self.attempts.waiting.get(attempt_id)
        if attempt is None:
            self.admission.finish(ticket.request_id, now=now)
            return []
        return self.start_attempt(now, attempt)

    def start_attempt(
        self, now: float, attempt: sidecar_attempts.Attempt
    ) -> list[fx.Effect]:
        """Sends an attempt to the upstream if it still passes checks."""
        problem = self.check_submit(now, attempt.submit)
        if problem is not None:
            self.admission.finish(str(attempt.id), now=now)
            return self.refuse_waiting(now, attempt.id, problem)
        attempt.waited_s = now - attempt.arrived_at
        self.attempts.mark_running(attempt)
        return [
            build_upstream_call(attempt, now=now),
            self.log(attempt.submit, decision="handed_over"),
        ]

    def refuse_waiting(
        self,
        now: float,
        attempt_id: sidecar_attempts.AttemptId,
        problem: errors.Problem,
    ) -> list[fx.Effect]:
        """Refuses a waiting attempt as not run."""
        attempt = self.attempts.waiting.pop(attempt_id, None)
        if attempt is None:
            return []
        return self.refuse(now, attempt, problem)

    def refuse(
        self,
        now: float,
        attempt: sidecar_attempts.Attempt,
        problem: errors.Problem,
    ) -> list[fx.Effect]:
        """Refuses an attempt that wasn't sent to the upstream.

        The refusal is kept, so that a late duplicate of the submit can't
        run an attempt that was already reported as not run.
        """
        submit = attempt.submit
        failed = sidecar_ends.build_refusal(submit, problem, load=self.load)
        self.attempts.mark_finished(attempt, message=failed, now=now)
        return [
            effects.Send(submit.reply_to, failed),
            self.log(submit, decision="refused", reason=problem.code),
            fx.Count(f"sidecar.refused.{problem.code}"),
        ]

    def log(
        self, submit: path_messages.Submit, *, decision: str, reason: str = ""
    ) -> fx.LogDecision:
        """Returns the log entry of a decision on a submit."""
        return fx.LogDecision(
            decision=decision,
            request_id=submit.request_id,
            organisation=submit.organisation,
            model=submit.model,
            version=submit.version,
            upstream=self.identity.upstream,
            reason=reason,
            attempt=submit.attempt,
        )

    # Answers.

    def forward(self, event: events.UpstreamData) -> list[fx.Effect]:
        """Forwards answer events to the entry."""
        attempt = self.attempts.running.get(
            sidecar_attempts.AttemptId(event.request_id, event.attempt)
        )
        if attempt is None:
            return []
        first = attempt.end_event
        attempt.events += event.events
        sidecar_ends.update_usage(attempt, event.events)
        chunk = path_messages.Chunk(
            event.request_id, event.attempt, first, event.events
        )
        return [effects.Send(attempt.submit.reply_to, chunk)]

    def end_attempt(
        self, now: float, event: events.UpstreamEnded
    ) -> list[fx.Effect]:
        """Reports an attempt's end to the entry, and starts the next."""
        attempt_id = sidecar_attempts.AttemptId(event.request_id, event.attempt)
        attempt = self.attempts.running.get(attempt_id)
        if attempt is None:
            return []
        message = sidecar_ends.build_end_message(
            attempt,
            event,
            load=self.load,
            running=list(self.attempts.running.values()),
            incident=self.crashes.assign_incident(event.end, now=now),
        )
        self.free_slot(now, attempt_id)
        self.attempts.mark_finished(attempt, message=message, now=now)
        return [
            effects.Send(attempt.submit.reply_to, message),
            *self.start_waiting(now),
        ]

    def free_slot(
        self, now: float, attempt_id: sidecar_attempts.AttemptId
    ) -> None:
        """Frees the slot of an attempt."""
        self.admission.finish(str(attempt_id), now=now)
        if self.isolated and self.isolated[0].id == attempt_id:
            self.isolated.popleft()

    def cancel(
        self, now: float, attempt_id: sidecar_attempts.AttemptId
    ) -> list[fx.Effect]:
        """Cancels an attempt that the entry no longer needs."""
        out: list[fx.Effect] = []
        if attempt_id in self.attempts.running:
            out.append(fx.CancelUpstream(*attempt_id.as_tuple))
        attempt = self.attempts.find(attempt_id)
        if attempt is None or attempt.end is not None:
            self.attempts.confirm(attempt_id)
            return []
        self.free_slot(now, attempt_id)
        # The attempt is kept until it expires, so that a late duplicate of
        # the submit doesn't run it again.
        message = sidecar_ends.build_cancellation(attempt, load=self.load)
        self.attempts.mark_finished(attempt, message=message, now=now)
        self.attempts.confirm(attempt_id)
        return out + self.start_waiting(now)

    def resend(self, message: path_messages.Resend) -> list[fx.Effect]:
        """Resends the events and the end that the entry is missing."""
        attempt = self.attempts.find(
            sidecar_attempts.AttemptId(message.request_id, message.attempt)
        )
        if attempt is None:
            unknown = path_messages.AttemptUnknown(
                message.request_id, message.attempt
            )
            return [effects.Send(message.reply_to, unknown)]
        missing = attempt.events[
            message.first_event - attempt.submit.first_event :
        ]
        chunk = path_messages.Chunk(
            message.request_id, message.attempt, message.first_event, missing
        )
        sends: list[fx.Effect] = [effects.Send(message.reply_to, chunk)]
        if attempt.end is not None:
            sends.append(effects.Send(message.reply_to, attempt.end))
        return sends

    # Time and the upstream.

    def observe(
        self, now: float, event: events.UpstreamObserved
    ) -> list[fx.Effect]:
        """Handles an observation of the upstream's health and load."""
        if event.healthy:
            self.load = event.load
            self.admission.slots = max(1, event.load.max_batch)
            self.orders.observe(
                now=now,
                loaded=event.versions,
                loading=event.loading,
                last_fence=event.last_fence,
            )
        return [
            *self.control.observe(
                now=now,
                healthy=event.healthy,
                load=event.load,
                orders=self.orders.report(),
            )
        ]

    def tick(self, now: float) -> list[fx.Effect]:
        """Does the periodic work."""
        self.attempts.expire(now=now)
        out: list[fx.Effect] = [
            *self.held.hand_in(
                now=now,
                entries=self.control.list_entry_addresses(),
                reply_to=self.identity.peer_address,
            ),
            *self.start_waiting(now),
            *self.orders.send_ready(
                active_versions=self.attempts.list_active_versions()
            ),
        ]
        if now >= self.next_gauges_at:
            self.next_gauges_at = now + GAUGE_PERIOD_S
            out += self.build_gauges()
        if self.stopping:
            out += self.exit_if_idle(now)
        return out

    def build_gauges(self) -> list[fx.Effect]:
        """Returns the gauges that are reported periodically."""
        name = self.identity.name
        return [
            fx.Gauge(f"sidecar.{name}.running", len(self.attempts.running)),
            fx.Gauge(f"sidecar.{name}.waiting", len(self.attempts.waiting)),
            fx.Gauge(f"sidecar.{name}.held_records", len(self.held.records)),
        ]

    def stop(self, now: float, *, age_s: float) -> list[fx.Effect]:
        """Begins a graceful stop: only running attempts are finished.

        Args:
            now: The time in seconds.
            age_s: Seconds since the process was asked to stop.
        """
        if self.stopping:
            return []
        self.stopping = True
        self.stop_at = now - age_s + self.stop_grace_s
        out: list[fx.Effect] = [*self.control.announce_leaving(now=now)]
        problem = errors.Problem(
            code=errors.ErrorCode.UPSTREAM_LEAVING,
            retry_after_s=defaults.RETRY_AFTER_S,
        )
        for attempt_id in list(self.attempts.waiting):
            self.free_slot(now, attempt_id)
            out += self.refuse_waiting(now, attempt_id, problem)
        return out

    def exit_if_idle(self, now: float) -> list[fx.Effect]:
        """Exits once no work, unconfirmed answer or held record is left."""
        busy = (
            self.attempts.running
            or self.attempts.count_unconfirmed()
            or self.held.records
        )
        if busy and now < self.stop_at:
            return []
        return [fx.Exit()]


def build_ticket(attempt: sidecar_attempts.Attempt) -> admission.Ticket:
    """Returns the ticket with which an attempt is admitted."""
    submit = attempt.submit
    return admission.Ticket(
        request_id=str(attempt.id),
        organisation=submit.organisation,
        priority=submit.priority,
        deadline=attempt.arrived_at + submit.deadline_s,
    )


def build_shed_problem(shed: admission.Shed) -> errors.Problem:
    """Returns the problem reported for a shed attempt."""
    return errors.Problem(code=shed.code, retry_after_s=shed.retry_after_s)


def build_upstream_call(
    attempt: sidecar_attempts.Attempt, *, now: float
) -> fx.CallUpstream:
    """Returns the effect that sends the attempt to the upstream."""
    submit = attempt.submit
    chat = submit.kind is requests.WorkKind.CHAT
    return fx.CallUpstream(
        request_id=submit.request_id,
        attempt=submit.attempt,
        method="POST" if chat else submit.method,
        path=CHAT_PATH if chat else submit.path,
        body=submit.body,
        streamed=chat,
        priority=submit.priority,
        idempotency_key=submit.idempotency_key,
        timeout_s=attempt.arrived_at + submit.deadline_s - now,
    )
