"""The router's reducer: one step for each event, effects as data.

`Router.step` has no socket, clock or thread, so that any program can drive
it. The passes over a request are listed in `state`.
"""

import random

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import errors
from rhubarbbank_core import events as core_events
from rhubarbbank_core import placement
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import answers
from rhubarbbank_router import configuration
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import engine_load
from rhubarbbank_router import events
from rhubarbbank_router import freshness_proof
from rhubarbbank_router import intake
from rhubarbbank_router import messages
from rhubarbbank_router import options
from rhubarbbank_router import peers
from rhubarbbank_router import rollouts
from rhubarbbank_router import route_match
from rhubarbbank_router import size_plan
from rhubarbbank_router import state as states
from rhubarbbank_router import store_reading
from rhubarbbank_router import store_relay
from rhubarbbank_router import trial_judge
from rhubarbbank_router import version_trial
from rhubarbbank_router import watch
from rhubarbbank_router import window_budget
from rhubarbbank_router import work_placement

MS_PER_S = 1000.0


class Router:
    """One entry that routes on a platform, as a state machine without I/O.

    Attributes:
        state: What the passes share.
    """

    def __init__(
        self,
        *,
        settings: options.RouterSettings,
        incarnation: int,
        rng: random.Random,
        sizes: size_plan.SizePlan | None = None,
        judge: version_trial.TrialJudge | None = None,
        placed: placement.Placement | None = None,
    ) -> None:
        bounds = settings.bounds
        self.state = states.RouterState(
            settings=settings,
            incarnation=incarnation,
            rng=rng,
            placer=placed or work_placement.WorkPlacement(rng=rng),
            sizes=sizes or size_plan.SmallestThenLargest(),
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
                limits=store_reading.find_limits(bounds)
            ),
            suspects=crash_suspects.CrashSuspects(),
        )

    def step(
        self, *, now: float, event: events.AnyEvent
    ) -> list[effects.Effect]:
        """Applies one event at time `now` (seconds); returns the effects."""
        state = self.state
        if state.started_at is None:
            state.started_at = now
        match event:
            case events.UpstreamData():
                return answers.take_data(state, event, now=now)
            case events.UpstreamHead():
                return answers.take_head(state, event, now=now)
            case events.UpstreamEnded():
                return answers.take_end(state, event, now=now)
            case events.RequestArrived(request):
                return intake.take_request(state, request, now=now)
            case events.CallerLeft(request_id):
                return answers.drop_caller(state, request_id, now=now)
            case core_events.Ticked():
                return self.tick(now)
            case core_events.MessageReceived(message):
                return self.take_news(now, message)
            case core_events.StopRequested():
                return self.stop(now)
            case _:
                return self.learn(now, event)

    def is_ready(self, *, now: float) -> bool:
        """Returns whether the balancer should send callers here."""
        state = self.state
        return (
            not state.stopping
            and state.is_informed
            and state.proof.holds(now=now)
        )

    def reads(self, subject: events.Subject) -> bool:
        """Returns whether a subject should be read in the store now."""
        return store_reading.reads(self.state, subject)

    @property
    def for_others(self) -> bool:
        """Whether entries here read the store for one another."""
        return self.state.relay.limits.allow_relays

    @property
    def list_position(self) -> int:
        """The store's revision up to which the list of upstreams is known."""
        return self.state.relay.log.position

    def use_settings(self, settings: options.RouterSettings) -> None:
        """Takes new bounds; names and addresses need a new start."""
        state = self.state
        state.settings = settings
        bounds = settings.bounds
        state.relay.limits = store_reading.find_limits(bounds)
        state.proof.limit_s = max(
            0.0, bounds.revoke_ms / MS_PER_S - defaults.PROOF_MARGIN_S
        )
        state.budget.limits = window_budget.BudgetLimits(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )

    def learn(self, now: float, event: events.AnyEvent) -> list[effects.Effect]:
        """Takes what the platform's store says."""
        state = self.state
        match event:
            case events.ConfigurationRead(asked_at=asked_at, found=found):
                return self.take_configuration(now, asked_at, found)
            case events.StoreAnswered(subject):
                return self.note_contact(now, subject)
            case events.StoreFailed(subject, detail):
                return self.note_failure(now, subject, detail)
            case events.RolloutsListed(orders):
                state.listed.add(events.Subject.ROLLOUTS)
                return rollouts.take_orders(state, orders, now=now)
            case events.RolloutChanged(order):
                return rollouts.take_order(state, order, now=now)
            case events.RolloutRemoved(service):
                rollouts.remove_order(state, service)
                return []
            case events.RolloutRecorded(service, done):
                return self.take_recorded(service, done)
            case _:
                self.learn_entries(event)
                return self.learn_upstreams(now, event)

    def learn_entries(self, event: events.AnyEvent) -> None:
        """Takes what the platform's store says of other entries."""
        entries = self.state.entries
        match event:
            case events.EntriesListed(listed):
                entries.replace_registered(listed)
            case events.EntryListed(peer):
                entries.put_registered(peer)
            case events.EntryUnlisted(name):
                entries.remove_registered(name)

    def learn_upstreams(
        self, now: float, event: events.AnyEvent
    ) -> list[effects.Effect]:
        """Takes what the platform's store says of upstreams."""
        state = self.state
        contact = state.contact(events.Subject.UPSTREAMS)
        doubtful = contact.was_regained_within(defaults.LAPSE_REPORT_S, now=now)
        match event:
            case events.UpstreamsListed(listed, position=position, at=at):
                state.listed.add(events.Subject.UPSTREAMS)
                state.relay.note_list(position, at=at)
                gone = state.view.replace_list(listed, doubtful=doubtful)
                rollouts.settle_all(state)
                return [
                    fx.LogDecision(
                        decision="upstreams_listed",
                        reason="whole list",
                        inputs=(
                            ("listed", len(listed)),
                            ("gone", ",".join(gone)),
                            ("doubtful", doubtful),
                        ),
                    )
                ]
            case events.UpstreamChanged(listed):
                state.view.put(listed)
                state.relay.note_change(listed)
                rollouts.settle_all(state)
                return [
                    fx.LogDecision(
                        decision="upstream_listed",
                        upstream=listed.upstream_id,
                        version=listed.version,
                        reason="leaving" if listed.leaving else "ready",
                        inputs=(("service", listed.service),),
                    )
                ]
            case events.UpstreamUnlisted(upstream_id):
                state.relay.note_change(upstream_id)
                known = upstream_id in state.view.beliefs
                state.view.remove(upstream_id, doubtful=doubtful)
                if not known:
                    return []
                return [
                    fx.LogDecision(
                        decision="upstream_unlisted",
                        upstream=upstream_id,
                        reason="in doubt" if doubtful else "gone",
                    )
                ]
            case events.UpstreamsConfirmed(position=position, at=at):
                if state.relay.note_watched(position, at=at):
                    return store_reading.tell_all(state, now=now)
                return []
            case _:
                return []

    def take_configuration(
        self,
        now: float,
        asked_at: float,
        found: configuration.Configuration | None,
    ) -> list[effects.Effect]:
        """Puts a configuration in force, unless a newer one is."""
        state = self.state
        if found is None:
            return []
        current = state.in_force
        if current is not None and found.revision < current.revision:
            # An answer that was overtaken proves nothing of today.
            return []
        state.proof.confirm(asked_at=asked_at)
        if current is not None and found.revision == current.revision:
            return []
        state.in_force = found
        state.routes = route_match.RouteIndex(routes=found.routes)
        return [
            *store_reading.tell_all(state, now=now),
            fx.LogDecision(
                decision="configuration_adopted",
                reason=f"version {found.version}",
                inputs=(
                    ("revision", found.revision),
                    ("routes", len(found.routes)),
                    ("keys", len(found.keys or {})),
                    ("age_s", round(now - asked_at, 3)),
                ),
            ),
            fx.Gauge("configuration_version", found.version),
        ]

    def note_contact(
        self, now: float, subject: events.Subject
    ) -> list[effects.Effect]:
        """Notes that the store answers."""
        contact = self.state.contact(subject)
        was_away = contact.is_away
        contact.answered_at = now
        if not was_away:
            return []
        contact.regained_at = now
        return [
            fx.LogDecision(
                decision="store_regained",
                reason=subject.value,
                inputs=(
                    ("away_s", round(now - (contact.failed_at or now), 3)),
                ),
            )
        ]

    def note_failure(
        self, now: float, subject: events.Subject, detail: str
    ) -> list[effects.Effect]:
        """Notes that a store call failed."""
        contact = self.state.contact(subject)
        was_away = contact.is_away
        contact.failed_at = now
        count = fx.Count("store_failures")
        if was_away:
            return [count]
        return [
            count,
            fx.LogDecision(
                decision="store_lost",
                reason=subject.value,
                inputs=(("detail", detail),),
            ),
        ]

    def take_recorded(self, service: str, done: bool) -> list[effects.Effect]:
        """Takes the end of a call to record a roll-out."""
        return [
            fx.LogDecision(
                decision="rollout_record_ended",
                reason="accepted" if done else "not accepted",
                inputs=(("service", service),),
            )
        ]

    def take_news(
        self, now: float, message: core_effects.Message
    ) -> list[effects.Effect]:
        """Takes a message of another entry."""
        state = self.state
        match message:
            case messages.EntryNews():
                return self.take_heartbeat(now, message)
            case messages.EntryLoads(name=name, loads=loads):
                state.others.take(name, loads, now=now)
                return []
            case messages.StoreAsk():
                return store_reading.take_ask(state, message, now=now)
            case messages.StoreTold():
                return self.take_told(now, message)
            case _:
                return []

    def take_told(
        self, now: float, told: messages.StoreTold
    ) -> list[effects.Effect]:
        """Takes what a reader of the store tells."""
        state = self.state
        if not state.relay.reading:
            store_reading.note_contact(state, told, now=now)
        is_current = store_reading.take_proof(state, told)
        out: list[effects.Effect] = []
        for event in store_reading.list_changes(state, told):
            out += self.learn_upstreams(now, event)
        if is_current:
            store_reading.note_informed(state, told, now=now)
        return out

    def take_heartbeat(
        self, now: float, message: messages.EntryNews
    ) -> list[effects.Effect]:
        """Takes what another entry tells of itself."""
        state = self.state
        is_new = state.entries.take(message, now=now)
        state.suspects.take(message.name, message.suspects)
        state.others.take(message.name, message.loads, now=now)
        rollouts.take_news(state, message, now=now)
        for upstream_id, started_ms in message.leaving:
            state.view.notices.note_leaving(upstream_id, started_ms)
        if not is_new:
            return []
        return [
            fx.LogDecision(
                decision="entry_heard",
                reason=message.name,
                inputs=(("incarnation", message.incarnation),),
            )
        ]

    def tick(self, now: float) -> list[effects.Effect]:
        """Does what is due at this time."""
        state = self.state
        out = watch.watch_requests(state, now=now)
        out += intake.release_held(state, now=now)
        out += rollouts.tick(state, now=now)
        out += store_reading.tick(state, now=now)
        contact = state.contact(events.Subject.UPSTREAMS)
        keep = contact.was_regained_within(defaults.LAPSE_GRACE_S, now=now)
        for upstream_id in state.view.drop_lapsed(keep=keep):
            out.append(
                fx.LogDecision(
                    decision="upstream_dropped",
                    upstream=upstream_id,
                    reason="still missing after the store's return",
                )
            )
        if now >= state.news_at:
            out += self.send_news(now)
        elif state.loads_at is not None and now >= state.loads_at:
            out += self.send_loads(now)
        if state.stopping:
            out += self.exit_if_idle(now)
        return out

    def send_news(self, now: float) -> list[effects.Effect]:
        """Sends this entry's heartbeat, and counts the others."""
        state = self.state
        state.news_at = now + defaults.NEWS_PERIOD_S
        state.loads_at = None
        out = self.forget(now)
        live = state.entries.list_live(now=now)
        known = max(len(live), len(state.entries.registered))
        if known:
            state.budget.note_entries(known + 1, now=now)
        settings = state.settings
        news = messages.EntryNews(
            name=settings.name,
            incarnation=state.incarnation,
            address=settings.peer_address,
            stopping=state.stopping,
            trials=rollouts.build_news(state, now=now),
            suspects=state.suspects.list_own(now=now),
            leaving=state.view.notices.list_leaving(),
            loads=engine_load.list_loads(state.view, now=now),
            data_centre=settings.data_centre,
            reads=state.relay.reading,
        )
        near = state.entries.list_near(settings.data_centre)
        out += [core_effects.Send(address, news) for address in near]
        if now >= state.far_news_at:
            out += self.send_far_news(now, news, near=frozenset(near))
        out.append(fx.Gauge("open_requests", len(state.open)))
        out.append(fx.Gauge("upstreams", len(state.view.beliefs)))
        return out

    def send_far_news(
        self,
        now: float,
        news: messages.EntryNews,
        *,
        near: frozenset[str],
    ) -> list[effects.Effect]:
        """Sends the heartbeat to other data centres, without small work."""
        state = self.state
        trying = any(not each.is_over for each in state.trials.values())
        state.far_news_at = now + (
            defaults.FAR_TRIAL_NEWS_PERIOD_S
            if trying
            else defaults.FAR_NEWS_PERIOD_S
        )
        least_ms = defaults.FAR_TELLING_WORK_MS
        loads = tuple(each for each in news.loads if each.work_ms >= least_ms)
        shorter = msgspec.structs.replace(news, loads=loads)
        return [
            core_effects.Send(address, shorter)
            for address in state.entries.list_addresses()
            if address not in near
        ]

    def send_pressing_news(self, now: float) -> list[effects.Effect]:
        """Sends a heartbeat to all entries at once."""
        self.state.far_news_at = now
        return self.send_news(now)

    def forget(self, now: float) -> list[effects.Effect]:
        """Forgets what is over: sessions, and entries that are silent."""
        state = self.state
        alive_s = state.settings.bounds.session_s + defaults.SESSION_MARGIN_S
        state.sessions.forget(now=now, alive_s=alive_s)
        state.others.drop_silent(now=now)
        out: list[effects.Effect] = []
        for name in state.entries.forget_silent(now=now):
            out.append(fx.LogDecision(decision="entry_silent", reason=name))
            out.append(effects.UnlistEntry(name))
        return out

    def send_loads(self, now: float) -> list[effects.Effect]:
        """Tells the entries nearby of new work, before the next heartbeat."""
        state = self.state
        state.loads_at = None
        loads = messages.EntryLoads(
            name=state.settings.name,
            loads=engine_load.list_loads(state.view, now=now),
        )
        near = state.entries.list_near(state.settings.data_centre)
        return [core_effects.Send(address, loads) for address in near]

    def stop(self, now: float) -> list[effects.Effect]:
        """Begins a graceful stop."""
        state = self.state
        if state.stopping:
            return []
        state.stop_at = now
        return [
            fx.LogDecision(
                decision="stopping",
                reason="asked to stop",
                inputs=(("open", len(state.open)),),
            ),
            effects.PauseIntake(),
            *self.send_pressing_news(now),
        ]

    def exit_if_idle(self, now: float) -> list[effects.Effect]:
        """Ends the process once all requests are answered, or time is up."""
        state = self.state
        if state.exiting or state.stop_at is None:
            return []
        stopping_s = now - state.stop_at
        last_s = state.settings.bounds.grace_s - defaults.STOP_MARGIN_S
        idle = not state.open and stopping_s >= defaults.STOP_LEAST_S
        if not idle and stopping_s < last_s:
            return []
        state.exiting = True
        out: list[effects.Effect] = []
        for opened in list(state.open.values()):
            code = errors.ErrorCode.SHUTTING_DOWN
            out += watch.end_request(state, opened, now=now, code=code)
        return [
            *out,
            fx.LogDecision(
                decision="stopped",
                reason="all answered" if idle else "grace time is over",
                inputs=(("after_s", round(stopping_s, 3)),),
            ),
            effects.CloseIntake(),
            effects.UnlistEntry(state.settings.name),
            fx.Exit(),
        ]
