"""The entry's reducer: takes callers' requests to an upstream and back.

`EntryReducer.step` takes one event and returns effects; it has no socket,
clock or thread, so that another program can drive it with events alone. The
passes over a request are listed in `entry_state`; coordination with other
processes and the platform stands in `entry_control`.
"""

import random

from rhubarbbank_core import allowances
from rhubarbbank_core import claim_records
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_allowances
from rhubarbbank_core import entry_answers
from rhubarbbank_core import entry_billing
from rhubarbbank_core import entry_cascade
from rhubarbbank_core import entry_claims
from rhubarbbank_core import entry_control
from rhubarbbank_core import entry_dispatch
from rhubarbbank_core import entry_exposure
from rhubarbbank_core import entry_intake
from rhubarbbank_core import entry_pins
from rhubarbbank_core import entry_ratings
from rhubarbbank_core import entry_rollout
from rhubarbbank_core import entry_state
from rhubarbbank_core import entry_suspects
from rhubarbbank_core import events
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import ledger_client
from rhubarbbank_core import membership_messages
from rhubarbbank_core import open_requests
from rhubarbbank_core import path_messages
from rhubarbbank_core import policies
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import store
from rhubarbbank_core import suspect_messages
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import wire

GAUGE_PERIOD_S = 1.0


class EntryReducer:
    """One entry as a state machine without I/O.

    Attributes:
        state: What the passes share.
        stop_grace_s: Longest graceful stop.
    """

    def __init__(
        self,
        *,
        identity: entry_control.EntryIdentity,
        settings: entry_control.ControlSettings,
        call_ids: effects.CallIds,
        rng: random.Random,
        stop_grace_s: float = defaults.STOP_GRACE_S,
        policy_names: policies.PolicyNames = policies.DEFAULT_POLICY_NAMES,
    ) -> None:
        control = entry_control.EntryControl(
            identity=identity, settings=settings, call_ids=call_ids, rng=rng
        )
        self.state = entry_state.EntryState(
            control=control,
            call_ids=call_ids,
            rng=rng,
            policy_names=policy_names,
        )
        self.stop_grace_s = stop_grace_s
        self.gauges_at = 0.0
        self.has_pulled_suspects = False

    def step(self, *, now: float, event: events.AnyEvent) -> list[fx.Effect]:
        """Applies one event at time `now` (seconds); returns the effects."""
        out = self.apply(now, event)
        control = self.state.control
        while control.late_events:
            late = control.late_events
            control.late_events = []
            for found in late:
                out += self.take_control_event(now, found)
        return out

    def apply(self, now: float, event: events.AnyEvent) -> list[fx.Effect]:
        """Applies one event, without the events that it led to at once."""
        state = self.state
        match event:
            case events.MessageReceived(message):
                return self.receive(now, message)
            case events.RequestReceived(request):
                return entry_intake.take_request(
                    state, now=now, request=request
                )
            case events.CallerGone(request_id):
                return entry_answers.drop_caller(state, request_id, now=now)
            case events.Ticked():
                return self.tick(now)
            case events.StoreReplied(reply):
                return self.take_store_reply(now, reply)
            case events.RatingReceived():
                return entry_ratings.take_rating(state, now=now, received=event)
            case events.HostsListed() | events.ListenerRefused():
                self.take_hosts(now, event)
                return []
            case events.RetryDue(request_id):
                opened = state.open.get(request_id)
                return self.try_slice(now, opened) if opened else []
            case events.StopRequested(age_s):
                return self.stop(now, age_s=age_s)
            case _:
                return []

    def take_hosts(
        self, now: float, event: events.HostsListed | events.ListenerRefused
    ) -> None:
        """Takes what is learnt of hosts: from the list, or from one itself."""
        control = self.state.control
        if isinstance(event, events.HostsListed):
            control.hosts(now=now, listed=event.hosts)
        else:
            control.fleet.on_refusal(event)

    def take_store_reply(
        self, now: float, reply: store.StoreReply
    ) -> list[fx.Effect]:
        """Hands the answer of a store call to whoever made it."""
        state = self.state
        if state.editor.owns_call(reply.call_id):
            return entry_exposure.take_store_reply(state, reply, now=now)
        step = state.control.store_reply(now=now, reply=reply)
        return self.take_control(now, step)

    def receive(self, now: float, message: wire.AnyMessage) -> list[fx.Effect]:
        """Handles a message of another process."""
        state = self.state
        match message:
            case path_messages.Chunk():
                return entry_answers.take_chunk(state, now=now, chunk=message)
            case path_messages.Done():
                return entry_answers.take_done(state, now=now, done=message)
            case path_messages.Accepted():
                return entry_answers.take_accepted(
                    state, now=now, message=message
                )
            case path_messages.Failed():
                return entry_answers.take_failed(state, now=now, failed=message)
            case path_messages.AttemptUnknown():
                return entry_answers.take_unknown(
                    state, now=now, message=message
                )
            case path_messages.RecordHeld():
                return entry_billing.take_held(state, message, now=now)
            case path_messages.HandInRecord():
                return entry_billing.hand_in(state, message, now=now)
            case _:
                return self.receive_knowledge(now, message)

    def receive_knowledge(
        self, now: float, message: wire.AnyMessage
    ) -> list[fx.Effect]:
        """Handles what another entry knows of requests and versions."""
        state = self.state
        match message:
            case suspect_messages.SuspectNotice():
                state.suspects.take_notice(message)
                return []
            case evidence_messages.EvidenceReport():
                state.duty.take_report(message)
                return []
            case evidence_messages.HoldNotice(model, version):
                key = table.VersionKey(model, version)
                entry_exposure.take_notice(state, key, now=now)
                return []
            case suspect_messages.SuspectPull():
                return entry_suspects.answer_pull(state, message)
            case _:
                return self.receive_control(now, message)

    def receive_control(
        self, now: float, message: wire.AnyMessage
    ) -> list[fx.Effect]:
        """Handles a message for the coordination parts."""
        state = self.state
        step = state.control.message(now=now, message=message)
        if isinstance(message, membership_messages.SidecarHeartbeat):
            state.at_report[message.name] = state.in_flight[message.name]
        out = self.take_control(now, step)
        if isinstance(message, allowances.SliceGrant):
            for opened in list(self.state.open.values()):
                if opened.slice_key == message.key:
                    out += self.try_slice(now, opened)
        return out

    def take_control(
        self, now: float, step: entry_control.ControlStep
    ) -> list[fx.Effect]:
        """Moves on what the coordination parts led to."""
        out: list[fx.Effect] = [*step.effects]
        for event in step.events:
            out += self.take_control_event(now, event)
        return out

    def take_control_event(
        self, now: float, event: entry_control.ControlEvent
    ) -> list[fx.Effect]:
        """Takes one event of the coordination parts."""
        match event:
            case table_sync_events.TableAdopted():
                return self.adopt(event)
            case table_sync_events.TableFault(source, detail):
                return [
                    fx.LogDecision(
                        decision="table_fault", reason=f"{source}: {detail}"
                    )
                ]
            case ledger_client.PutSettled():
                return self.take_settled(now, event)
            case ledger_client.PutFailed():
                return self.take_put_failed(now, event)
            case ledger_client.GetSettled():
                return self.take_found(now, event)

    def adopt(self, adopted: table_sync_events.TableAdopted) -> list[fx.Effect]:
        """Puts a table in force."""
        stored = table_codec.decode_table(adopted.raw)
        self.state.rows = stored.table
        self.state.control.set_allowances(stored.table)
        return [
            fx.LogDecision(
                decision="table_adopted", reason=f"revision {adopted.revision}"
            ),
            fx.Gauge("entry.table_revision", adopted.revision),
        ]

    def take_settled(
        self, now: float, event: ledger_client.PutSettled
    ) -> list[fx.Effect]:
        """Takes the ledger's answer to a put."""
        state = self.state
        pending = state.puts.get(event.put_id)
        if pending is None:
            return []
        if event.durable:
            del state.puts[event.put_id]
        if pending.purpose is entry_state.PutPurpose.BILL:
            return entry_billing.take_settled(
                state, pending, now=now, durable=event.durable
            )
        if pending.purpose is entry_state.PutPurpose.PIN and event.durable:
            released = entry_billing.release(state, pending.record.key)
            return released + self.take_put_answer(now, event, pending)
        return self.take_put_answer(now, event, pending)

    def take_put_answer(
        self,
        now: float,
        event: ledger_client.PutSettled,
        pending: entry_state.PendingPut,
    ) -> list[fx.Effect]:
        """Hands the answer to the request that the put is for."""
        state = self.state
        opened = state.open.get(pending.request_id)
        status = event.statuses[0]
        if opened is None:
            claims = pending.purpose is entry_state.PutPurpose.CLAIM
            if not claims or not event.durable:
                return []
            return claim_records.free_claim(state, pending, status, now=now)
        match pending.purpose:
            case entry_state.PutPurpose.PIN:
                return entry_pins.take_pin(
                    state, opened, status, now=now, durable=event.durable
                )
            case entry_state.PutPurpose.CLAIM:
                return entry_claims.take_claim(
                    state, opened, status, now=now, durable=event.durable
                )
            case entry_state.PutPurpose.ISOLATION:
                return entry_dispatch.take_isolation(
                    state, opened, status, now=now, durable=event.durable
                )
            case _:
                return []

    def take_put_failed(
        self, now: float, event: ledger_client.PutFailed
    ) -> list[fx.Effect]:
        """Takes that the ledger gave a put up."""
        state = self.state
        pending = state.puts.pop(event.put_id, None)
        if pending is None:
            return []
        if pending.purpose is entry_state.PutPurpose.BILL:
            return entry_billing.take_failed(state, pending, now=now)
        opened = state.open.get(pending.request_id)
        if opened is None:
            return []
        match pending.purpose:
            case entry_state.PutPurpose.PIN:
                return entry_pins.refuse_unknown(state, opened)
            case entry_state.PutPurpose.CLAIM:
                return entry_claims.refuse_unclaimed(state, opened)
            case entry_state.PutPurpose.ISOLATION:
                return entry_suspects.refuse(state, opened)
            case _:
                return []

    def take_found(
        self, now: float, event: ledger_client.GetSettled
    ) -> list[fx.Effect]:
        """Takes the ledger's answer to a get."""
        state = self.state
        opened = state.open.get(state.gets.pop(event.get_id, ""))
        if opened is None:
            return []
        if opened.phase is open_requests.Phase.PINNING:
            return entry_pins.take_found(state, opened, event.records, now=now)
        return entry_claims.take_found(state, opened, event.records, now=now)

    def tick(self, now: float) -> list[fx.Effect]:
        """Does what is due at this time."""
        out: list[fx.Effect] = []
        for opened in list(self.state.open.values()):
            out += self.watch(now, opened)
        out += self.take_control(now, self.state.control.tick(now=now))
        out += self.pull_suspects()
        out += entry_exposure.tick(self.state, now=now)
        out += entry_rollout.tick(self.state, now=now)
        if now >= self.gauges_at:
            self.gauges_at = now + GAUGE_PERIOD_S
            out += self.measure()
        if self.state.stopping:
            out += self.exit_if_idle(now)
        return out

    def watch(
        self, now: float, opened: open_requests.OpenRequest
    ) -> list[fx.Effect]:
        """Does what is due for one open request."""
        state = self.state
        if now >= opened.deadline and not opened.is_answered:
            return entry_dispatch.exceed_deadline(state, opened, now=now)
        match opened.phase:
            case open_requests.Phase.RUNNING:
                return entry_dispatch.watch_attempt(state, opened, now=now)
            case open_requests.Phase.RATING:
                return entry_ratings.watch(state, opened, now=now)
            case open_requests.Phase.BILLING:
                return entry_billing.watch(state, opened, now=now)
            case _:
                return self.try_slice(now, opened)

    def try_slice(
        self, now: float, opened: open_requests.OpenRequest
    ) -> list[fx.Effect]:
        """Goes on with a request that waits for a slice, if there is one."""
        match opened.phase:
            case open_requests.Phase.SLICING:
                return entry_allowances.try_take(self.state, opened, now=now)
            case open_requests.Phase.STEPPING:
                return entry_cascade.try_step(self.state, opened, now=now)
            case _:
                return []

    def pull_suspects(self) -> list[fx.Effect]:
        """Asks the other entries, once after the start, for suspects."""
        state = self.state
        others = state.control.live_addresses - {state.identity.peer_address}
        if self.has_pulled_suspects or not others:
            return []
        self.has_pulled_suspects = True
        pull = suspect_messages.SuspectPull(state.identity.peer_address)
        return [effects.Send(address, pull) for address in sorted(others)[:2]]

    def measure(self) -> list[fx.Effect]:
        """Returns the regular gauges."""
        state = self.state
        return [
            fx.Gauge("entry.open_requests", len(state.open)),
            fx.Gauge("entry.unsettled_records", len(state.unsettled)),
            fx.Gauge("entry.shards_owned", len(state.control.owner.owned)),
        ]

    def stop(self, now: float, *, age_s: float) -> list[fx.Effect]:
        """Begins a graceful stop: nothing new, what runs is finished.

        Args:
            now: The time in seconds.
            age_s: Seconds since the process was asked to stop.
        """
        if self.state.stopping:
            return []
        self.state.stopping = True
        self.state.stop_at = now - age_s + self.stop_grace_s
        return [*self.state.control.leave(now=now)]

    def exit_if_idle(self, now: float) -> list[fx.Effect]:
        """Ends the process once nothing is left to do or hand over."""
        state = self.state
        busy = state.open or state.unsettled or state.control.has_duties()
        if busy and now < state.stop_at:
            return []
        return [fx.Exit()]

    def explain(self, request_id: str) -> list[fx.LogDecision]:
        """Returns the decisions on a recent request, oldest first."""
        return list(self.state.explanations.get(request_id, []))
