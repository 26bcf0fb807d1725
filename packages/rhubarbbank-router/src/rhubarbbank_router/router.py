"""The router's state machine: processes events and returns effects as data.

`Router.step` performs no I/O and reads no clock, so that any program can drive
it. The stages of request processing are listed in `state`.
"""

import random

from rhubarbbank_core import errors
from rhubarbbank_core import events as core_events
from rhubarbbank_core import placement
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import answer_heads
from rhubarbbank_router import answers
from rhubarbbank_router import cold_sharing
from rhubarbbank_router import configuration_copies
from rhubarbbank_router import crash_causes
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import evacuation_list
from rhubarbbank_router import events
from rhubarbbank_router import freshness_proof
from rhubarbbank_router import heartbeats
from rhubarbbank_router import hedges
from rhubarbbank_router import intake
from rhubarbbank_router import options
from rhubarbbank_router import peers
from rhubarbbank_router import rollouts
from rhubarbbank_router import route_match
from rhubarbbank_router import size_policy
from rhubarbbank_router import state as states
from rhubarbbank_router import store_eras
from rhubarbbank_router import store_position
from rhubarbbank_router import store_reading
from rhubarbbank_router import store_relay
from rhubarbbank_router import timeouts
from rhubarbbank_router import trial_judge
from rhubarbbank_router import upstream_list
from rhubarbbank_router import version_trial
from rhubarbbank_router import window_budget
from rhubarbbank_router import work_placement

MS_PER_S = 1000.0
# Answers about the other subjects may come from an old copy of the store, also
# while the store itself is away.
CURRENT_SUBJECTS = frozenset(
    (events.Subject.CONFIGURATION, events.Subject.UPSTREAMS)
)


class Router:
    """One entry that routes on a platform, as a state machine without I/O.

    Attributes:
        state: State shared by the stages of request processing.
    """

    def __init__(
        self,
        *,
        settings: options.RouterSettings,
        incarnation: int,
        rng: random.Random,
        sizing_policy: size_policy.SizePolicy | None = None,
        judge: version_trial.TrialJudge | None = None,
        placer: placement.Placement | None = None,
    ) -> None:
        bounds = settings.bounds
        suspects = crash_suspects.CrashSuspects(
            observer=f"{settings.name}/{incarnation}"
        )
        self.state = states.RouterState(
            settings=settings,
            incarnation=incarnation,
            rng=rng,
            placer=placer or work_placement.WorkPlacement(rng=rng),
            sizing_policy=sizing_policy or size_policy.SmallestThenLargest(),
            judge=judge or trial_judge.LikelihoodJudge(),
            budget=window_budget.WindowBudget(
                limits=window_budget.BudgetLimits(
                    ratio=bounds.retry_ratio,
                    extra=bounds.retry_extra,
                    window_s=bounds.retry_window_s,
                )
            ),
            proof=freshness_proof.FreshnessProof(
                limit_s=max(
                    0.0,
                    bounds.revoke_ms / MS_PER_S - defaults.PROOF_MARGIN_S,
                )
            ),
            entries=peers.PeerTable(name=settings.name),
            relay=store_relay.StoreRelay(
                limits=store_reading.compute_age_limits(bounds)
            ),
            suspects=suspects,
            causes=crash_causes.CrashCauses(suspects),
        )
        self.state.evacuations.is_followed = bounds.evac_ms is not None
        self.state.view.cold.name = settings.name

    def step(
        self, *, now: float, event: events.AnyEvent
    ) -> list[effects.Effect]:
        """Processes an event at time `now` (seconds); returns its effects."""
        state = self.state
        if state.started_at is None:
            state.started_at = now
        match event:
            case events.UpstreamData():
                return answers.handle_data(state, event, now=now)
            case events.UpstreamHead():
                cold_sharing.record_head(state, event, now=now)
                return answer_heads.handle_head(state, event, now=now)
            case events.UpstreamEnded():
                cold_sharing.record_end(state, event, now=now)
                return answers.handle_end(state, event, now=now)
            case events.RequestArrived(request):
                return intake.handle_request(state, request, now=now)
            case events.CallerLeft(request_id):
                return answers.handle_caller_left(state, request_id, now=now)
            case core_events.Ticked():
                return self.tick(now)
            case core_events.MessageReceived(message):
                return heartbeats.handle_message(state, message, now=now)
            case core_events.StopRequested(age_s):
                return self.stop(now, age_s=age_s)
            case _:
                return self.apply_store_event(now, event)

    def is_ready(self, *, now: float) -> bool:
        """Returns whether the load balancer should send callers here."""
        state = self.state
        return (
            not state.stopping
            and state.is_initialised
            and state.proof.is_valid(now=now)
            and not configuration_copies.is_outdated(state, now=now)
        )

    def should_read(self, subject: events.Subject) -> bool:
        """Returns whether a subject should be read from the store now."""
        return store_reading.should_read(self.state, subject)

    @property
    def relays_enabled(self) -> bool:
        """Whether entries of the data centre share reads of the store."""
        return self.state.relay.limits.allow_relays

    @property
    def awaits_proof(self) -> bool:
        """Whether the last read doesn't prove the configuration's freshness."""
        return self.state.unproven_read_at is not None

    @property
    def list_position(self) -> store_position.StorePosition:
        """The store's position up to which the list of upstreams is known."""
        return self.state.relay.change_log.position

    @property
    def evacuations_position(self) -> store_position.StorePosition:
        """The store's position up to which the evacuations are known."""
        return self.state.evacuations.position

    @property
    def store_era(self) -> int:
        """The store's newest known era; 0 if it has named none."""
        return self.state.store_era or 0

    def apply_settings(self, settings: options.RouterSettings) -> None:
        """Applies new bounds; names and addresses require a restart."""
        state = self.state
        state.settings = settings
        bounds = settings.bounds
        state.relay.limits = store_reading.compute_age_limits(bounds)
        state.proof.limit_s = max(
            0.0, bounds.revoke_ms / MS_PER_S - defaults.PROOF_MARGIN_S
        )
        state.budget.limits = window_budget.BudgetLimits(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )
        cold_sharing.update_terms(state)

    def apply_store_event(
        self, now: float, event: events.AnyEvent
    ) -> list[effects.Effect]:
        """Applies the outcome of a call to the platform's store."""
        state = self.state
        match event:
            case events.ConfigurationRead() | events.CopyRejected():
                return self.handle_configuration(now, event)
            case (
                events.StoreAnswered()
                | events.StoreFailed()
                | events.WatchCut()
            ):
                return self.record_call_end(now, event)
            case events.StoreEraRead(era):
                return store_eras.record_era(state, era, now=now)
            case events.RolloutsListed(orders):
                out = rollouts.apply_orders(state, orders, now=now)
                state.listed_subjects.add(events.Subject.ROLLOUTS)
                return out
            case events.RolloutChanged(order):
                return rollouts.apply_order(state, order, now=now)
            case events.RolloutRemoved(service):
                rollouts.remove_order(state, service)
                return []
            case events.CallersCounted(busy):
                state.busy_callers = busy
                return []
            case events.RolloutRecorded(service, done):
                return self.log_record_ended(service, done)
            case (
                events.EvacuationsListed()
                | events.EvacuationChanged()
                | events.EvacuationRemoved()
                | events.EvacuationsConfirmed()
            ):
                return evacuation_list.handle_event(state, event, now=now)
            case _:
                out = self.apply_entry_event(now, event)
                return out + upstream_list.handle_event(
                    self.state, event, now=now
                )

    def apply_entry_event(
        self, now: float, event: events.AnyEvent
    ) -> list[effects.Effect]:
        """Applies a change of the entries registered in the store."""
        state = self.state
        entries = state.entries
        match event:
            case events.EntriesListed(listed):
                entries.replace_registered(listed)
                if events.Subject.ENTRIES not in self.state.listed_subjects:
                    # Peers reply with what this entry should know.
                    self.state.next_heartbeat_at = now
                self.state.listed_subjects.add(events.Subject.ENTRIES)
                return store_eras.record_registrations(state, listed, now=now)
            case events.EntryListed(peer):
                entries.put_registered(peer)
                return store_eras.record_registrations(state, (peer,), now=now)
            case events.EntryUnlisted(name):
                entries.remove_registered(name)
        return []

    def handle_configuration(
        self, now: float, event: events.ConfigurationRead | events.CopyRejected
    ) -> list[effects.Effect]:
        """Handles a configuration from the store or from another entry."""
        if isinstance(event, events.CopyRejected):
            return configuration_copies.reject_copy(self.state, event)
        return self.apply_configuration(now, event)

    def apply_configuration(
        self, now: float, event: events.ConfigurationRead
    ) -> list[effects.Effect]:
        """Activates a configuration unless a newer one is active."""
        state = self.state
        asked_at, found = event.asked_at, event.found
        if found is None:
            return []
        current = state.active_configuration
        if current is not None and found.precedence < current.precedence:
            # A response that was overtaken by a newer one, or that comes from
            # a restored copy, proves no freshness.
            return store_eras.log_ignored_configuration(
                state, found, current, age_s=now - asked_at
            )
        if current is None or found.version > current.version:
            state.configuration_active_from = now
        state.active_configuration = found
        store_eras.confirm_configuration(state, asked_at=asked_at)
        if current is not None and found.precedence == current.precedence:
            return []
        state.relay.outdated_since = None
        state.routes = route_match.RouteIndex(routes=found.routes)
        cold_sharing.update_terms(state)
        return [
            *store_reading.send_updates(state, now=now),
            fx.LogDecision(
                decision="configuration_adopted",
                reason=f"version {found.version}",
                inputs=(
                    ("era", found.era),
                    ("revision", found.revision),
                    ("routes", len(found.routes)),
                    ("keys", len(found.keys or {})),
                    ("age_s", round(now - asked_at, 3)),
                    ("bytes", len(found.encoded)),
                    ("source", event.source or "store"),
                ),
            ),
            fx.Gauge("configuration_version", found.version),
        ]

    def record_call_end(
        self,
        now: float,
        event: events.StoreAnswered | events.StoreFailed | events.WatchCut,
    ) -> list[effects.Effect]:
        """Records how a call to the store ended."""
        match event:
            case events.StoreAnswered(subject):
                return self.record_store_answer(now, subject)
            case events.StoreFailed(subject, detail):
                return self.record_store_failure(now, subject, detail)
            case events.WatchCut(subject):
                if subject is events.Subject.UPSTREAMS:
                    self.state.outages.record_cut()
                return [fx.Count("watches_cut")]

    def record_store_answer(
        self, now: float, subject: events.Subject
    ) -> list[effects.Effect]:
        """Records a successful call to the store."""
        availability = self.state.get_store_availability(subject)
        was_unavailable = availability.is_unavailable
        availability.answered_at = now
        if subject in CURRENT_SUBJECTS:
            self.state.outages.record_answer(
                now=now, reads_upstreams=subject is events.Subject.UPSTREAMS
            )
        if not was_unavailable:
            return []
        return [
            fx.LogDecision(
                decision="store_regained",
                reason=subject.value,
                inputs=(
                    ("away_s", round(now - (availability.failed_at or now), 3)),
                ),
            )
        ]

    def record_store_failure(
        self, now: float, subject: events.Subject, detail: str
    ) -> list[effects.Effect]:
        """Records a failed call to the store."""
        availability = self.state.get_store_availability(subject)
        was_unavailable = availability.is_unavailable
        availability.failed_at = now
        if subject is events.Subject.UPSTREAMS:
            self.state.outages.record_failure(now=now)
        count = fx.Count("store_failures")
        if was_unavailable:
            return [count]
        return [
            count,
            fx.LogDecision(
                decision="store_lost",
                reason=subject.value,
                inputs=(("detail", detail),),
            ),
        ]

    def log_record_ended(
        self, service: str, done: bool
    ) -> list[effects.Effect]:
        """Logs the end of a call that records a roll-out."""
        return [
            fx.LogDecision(
                decision="rollout_record_ended",
                reason="accepted" if done else "not accepted",
                inputs=(("service", service),),
            )
        ]

    def tick(self, now: float) -> list[effects.Effect]:
        """Performs the actions that are due at time `now` (seconds)."""
        state = self.state
        out = timeouts.check_requests(state, now=now)
        out += hedges.begin_due(state, now=now)
        out += intake.admit_held(state, now=now)
        out += rollouts.tick(state, now=now)
        out += store_reading.tick(state, now=now)
        out += store_eras.record_settled_era(state, now=now)
        out += cold_sharing.log_changes(state, now=now)
        keep = state.outages.may_renew(now=now)
        for upstream_id in state.view.drop_lapsed(keep=keep, now=now):
            out.append(
                fx.LogDecision(
                    decision="upstream_dropped",
                    upstream=upstream_id,
                    reason="still missing after the store's return",
                )
            )
        if now >= state.next_heartbeat_at:
            out += heartbeats.send_heartbeat(state, now=now)
        elif (
            state.next_load_update_at is not None
            and now >= state.next_load_update_at
        ):
            out += heartbeats.send_load_update(state, now=now)
        if state.stopping:
            out += self.exit_if_idle(now)
        return out

    def stop(self, now: float, *, age_s: float) -> list[effects.Effect]:
        """Begins a graceful stop.

        Args:
            now: The time in seconds.
            age_s: Seconds since the process was asked to stop, from which the
                grace time counts. The least time of a stop counts from `now`.
        """
        state = self.state
        if state.stopping:
            return []
        state.stop_at = now - age_s
        # Callers that waited for a slow start are served only from now on.
        state.stop_served_until = now + defaults.STOP_MIN_S
        return [
            fx.LogDecision(
                decision="stopping",
                reason="asked to stop",
                inputs=(
                    ("open", len(state.open_requests)),
                    ("asked_s_ago", round(age_s, 3)),
                ),
            ),
            effects.DisableKeepAlive(),
            *heartbeats.send_urgent_heartbeat(state, now=now),
        ]

    def exit_if_idle(self, now: float) -> list[effects.Effect]:
        """Ends the process when it is idle or the grace time is over."""
        state = self.state
        if state.is_exiting or state.stop_at is None:
            return []
        elapsed_s = now - state.stop_at
        max_elapsed_s = state.settings.bounds.grace_s - defaults.STOP_MARGIN_S
        is_busy = state.open_requests or state.busy_callers
        idle = not is_busy and now >= state.stop_served_until
        if not idle and elapsed_s < max_elapsed_s:
            return []
        state.is_exiting = True
        out: list[effects.Effect] = []
        for opened in list(state.open_requests.values()):
            code = errors.ErrorCode.SHUTTING_DOWN
            out += timeouts.abort_request(state, opened, now=now, code=code)
        return [
            *out,
            fx.LogDecision(
                decision="stopped",
                reason="all answered" if idle else "grace time is over",
                inputs=(
                    ("after_s", round(elapsed_s, 3)),
                    ("busy_callers", state.busy_callers),
                ),
            ),
            effects.StopAccepting(),
            effects.DeregisterEntry(state.settings.name),
            fx.Exit(),
        ]
