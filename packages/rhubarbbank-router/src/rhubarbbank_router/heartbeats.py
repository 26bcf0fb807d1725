"""Sends this entry's heartbeats and handles messages from other entries.

Entries of the same data centre get a heartbeat twice a second, and a load
update in between when long work starts. Other data centres get heartbeats less
often, and in bundles if they have many entries (see `heartbeat_forwarding`).
Every message from another entry arrives here and is dispatched to the modules
that use its contents.
"""

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import cold_sharing
from rhubarbbank_router import configuration_copies
from rhubarbbank_router import crash_review
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import engine_load
from rhubarbbank_router import evacuation_list
from rhubarbbank_router import heartbeat_forwarding
from rhubarbbank_router import limit_sharing
from rhubarbbank_router import messages
from rhubarbbank_router import rollouts
from rhubarbbank_router import state as states
from rhubarbbank_router import store_eras
from rhubarbbank_router import store_reading
from rhubarbbank_router import upstream_list

MS_PER_S = 1000.0
# Maximum number of traits in one log line.
MAX_LOGGED_TRAITS = 8


def handle_message(
    state: states.RouterState, message: core_effects.Message, *, now: float
) -> list[effects.Effect]:
    """Handles a message from another entry."""
    match message:
        case messages.Heartbeat():
            return handle_heartbeat(state, message, now=now)
        case messages.LoadUpdate(name=name, loads=loads):
            state.peer_workload.update(name, loads, now=now)
            return []
        case messages.HeartbeatBundle():
            return handle_bundle(state, message, now=now)
        case messages.StoreUpdateRequest():
            return store_reading.handle_update_request(state, message, now=now)
        case messages.StoreUpdate():
            return handle_store_update(state, message, now=now)
        case _:
            return []


def handle_store_update(
    state: states.RouterState, update: messages.StoreUpdate, *, now: float
) -> list[effects.Effect]:
    """Handles an update from an entry that reads the store."""
    # Entries of a release that reads no era report 0.
    era = max(update.era, update.list_era)
    out = store_eras.record_era(state, era, now=now) if era else []
    if not state.relay.is_reader:
        store_reading.record_store_answer(state, update, now=now)
    out += configuration_copies.apply_update(state, update, now=now)
    is_current = store_reading.apply_proof(state, update)
    for event in store_reading.build_upstream_events(state, update):
        out += upstream_list.handle_event(state, event, now=now)
    out += evacuation_list.apply_update(state, update, now=now)
    store_reading.record_reader_freshness(
        state, update, is_current=is_current, now=now
    )
    return out


def handle_bundle(
    state: states.RouterState, bundle: messages.HeartbeatBundle, *, now: float
) -> list[effects.Effect]:
    """Forwards a bundle and applies its heartbeats.

    Each heartbeat counts from the time at which the forwarder received it.
    """
    out = heartbeat_forwarding.forward_bundle(state, bundle, now=now)
    for each in bundle.told:
        received_at = now - each.age_ms / MS_PER_S
        if state.entries.is_outdated(each.news, received_at=received_at):
            continue
        out += handle_heartbeat(state, each.news, now=received_at)
    return out


def handle_heartbeat(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Applies a heartbeat from another entry.

    Args:
        state: The router's state.
        message: The heartbeat.
        now: Time at which it was first received, in seconds.
    """
    is_new_incarnation = state.entries.update(message, now=now)
    out = crash_review.merge_reports(state, message, now=now)
    state.peer_workload.update(message.name, message.loads, now=now)
    rollouts.merge_trial_reports(state, message, now=now)
    out += record_leaving_upstreams(state, message)
    out += limit_sharing.merge_reports(state, message, now=now)
    cold_sharing.merge_reports(state, message, now=now)
    out += store_eras.record_peer_version(state, message, now=now)
    out += store_eras.record_peer_restore(state, message, now=now)
    if message.era_age_ms is not None:
        out += store_eras.record_era_age(
            state,
            message.store_era,
            seen_at=now - message.era_age_ms / MS_PER_S,
            source=message.name,
        )
    if not is_new_incarnation:
        return out
    return [
        *out,
        *greet_entry(state, message, now=now),
        fx.LogDecision(
            decision="entry_heard",
            reason=message.name,
            inputs=(("incarnation", message.incarnation),),
        ),
    ]


def greet_entry(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Replies at once to an entry that needs to know what this one knows.

    It may have read a store's older copy, or not know how far a roll-out is.
    """
    is_current = message.configuration_version >= get_active_version(state)
    is_near = message.data_centre == state.settings.data_centre
    may_be_outdated = is_near and not (
        is_current and store_eras.has_settled(state, now)
    )
    if not may_be_outdated and not reports_rollouts(state, message, now=now):
        return []
    return [core_effects.Send(message.address, build_heartbeat(state, now=now))]


def reports_rollouts(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> bool:
    """Returns whether to tell an entry that has started of roll-outs.

    In its data centre a few entries do, elsewhere one in each.
    """
    if all(each.is_finished for each in state.trials.values()):
        return False
    data_centre = state.settings.data_centre
    nearby = state.entries.list_live_in(data_centre, now=now)
    rank = sum(
        each.name < state.settings.name
        for each in nearby
        if each.name != message.name
    )
    is_near = message.data_centre == data_centre
    return rank < (defaults.ROLLOUT_REPORTERS if is_near else 1)


def record_leaving_upstreams(
    state: states.RouterState, message: messages.Heartbeat
) -> list[effects.Effect]:
    """Records upstreams that told another entry that they shut down."""
    return [
        fx.LogDecision(
            decision="upstream_leaving",
            upstream=upstream_id,
            reason=message.name,
            inputs=(("started_ms", started_ms),),
        )
        for upstream_id, started_ms in message.leaving
        if state.view.notices.record_leaving(upstream_id, started_ms)
    ]


def send_heartbeat(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Sends this entry's heartbeat and performs the periodic upkeep.

    Expired state is removed, the retry budget gets the number of entries, and
    the gauges are reported.
    """
    heartbeat_forwarding.pause_if_suspended(state, now=now)
    state.next_heartbeat_at = now + defaults.HEARTBEAT_PERIOD_S
    state.next_load_update_at = None
    out = remove_expired(state, now=now)
    out += crash_review.review_registered(state, now=now)
    live = state.entries.list_live(now=now)
    known = max(len(live), len(state.entries.registered))
    if known:
        state.budget.record_entry_count(known + 1, now=now)
    limit_sharing.update_shares(state, now=now)
    out += cold_sharing.update_views(state, now=now)
    heartbeat = build_heartbeat(state, now=now)
    nearby = state.entries.list_addresses_in(state.settings.data_centre)
    out += [core_effects.Send(address, heartbeat) for address in nearby]
    out += send_remote_heartbeat(
        state, heartbeat, now=now, nearby=frozenset(nearby)
    )
    out.append(fx.Gauge("open_requests", len(state.open_requests)))
    out.append(fx.Gauge("upstreams", len(state.view.tracked)))
    held = [each.held_bytes for each in state.view.tracked.values()]
    out.append(fx.Gauge("upstream_held_bytes_max", max(held, default=0)))
    out += evacuation_list.build_gauges(state, now=now)
    out += cold_sharing.build_gauges(state, now=now)
    return out


def get_active_version(state: states.RouterState) -> int:
    """Returns the version of the active configuration; 0 without one."""
    active = state.active_configuration
    return active.version if active else 0


def build_heartbeat(
    state: states.RouterState, *, now: float
) -> messages.Heartbeat:
    """Returns this entry's heartbeat."""
    settings = state.settings
    return messages.Heartbeat(
        name=settings.name,
        incarnation=state.incarnation,
        address=settings.peer_address,
        stopping=state.stopping,
        trials=rollouts.build_trial_reports(state, now=now),
        suspects=state.suspects.build_reports(now=now),
        leaving=state.view.list_announced_leaving(),
        loads=engine_load.list_loads(state.view, now=now),
        data_centre=settings.data_centre,
        reads=state.relay.is_reader,
        configuration_version=get_active_version(state),
        configuration_age_ms=round(
            (now - state.configuration_active_from) * MS_PER_S
        ),
        store_era=state.store_era,
        restored_age_ms=None
        if state.restored_at is None
        else round((now - state.restored_at) * MS_PER_S),
        limits=limit_sharing.build_reports(state, now=now),
        era_age_ms=None
        if state.era_seen_at is None
        else int((now - state.era_seen_at) * MS_PER_S),
        cold=cold_sharing.build_reports(state, now=now),
        demands=cold_sharing.build_demand_reports(state, now=now),
        refuted=state.suspects.log.list_shared(now=now),
        link_mbps=settings.host.link_mbps or 0.0,
    )


def send_remote_heartbeat(
    state: states.RouterState,
    heartbeat: messages.Heartbeat,
    *,
    now: float,
    nearby: frozenset[str],
) -> list[effects.Effect]:
    """Sends the heartbeat to other data centres if it is due or urgent.

    If there are few remote entries, each gets the full heartbeat. Otherwise
    bundles carry the heartbeats, and a direct one goes to all remote entries
    only if it is urgent, else to those that have not been heard from lately.
    """
    is_urgent, state.is_heartbeat_urgent = state.is_heartbeat_urgent, False
    is_due = now >= state.next_remote_heartbeat_at
    if not is_due and not is_urgent:
        return []
    addresses = [x for x in state.entries.list_addresses() if x not in nearby]
    if len(addresses) <= defaults.MAX_REMOTE_ENTRIES_FULL_HEARTBEAT:
        state.next_remote_heartbeat_at = (
            now + defaults.REMOTE_HEARTBEAT_PERIOD_S
        )
        return send_to_each(addresses, heartbeat)
    if not is_urgent:
        addresses = heartbeat_forwarding.filter_unheard(
            state, addresses, now=now
        )
    out = send_to_each(
        addresses, heartbeat_forwarding.remove_small_loads(heartbeat)
    )
    if is_due:
        state.next_remote_heartbeat_at = (
            now + heartbeat_forwarding.get_bundle_period_s(state)
        )
        out += heartbeat_forwarding.send_bundles(state, heartbeat, now=now)
    return out


def send_to_each(
    addresses: list[str], heartbeat: messages.Heartbeat
) -> list[effects.Effect]:
    """Returns the effects that send a heartbeat to each address."""
    return [core_effects.Send(address, heartbeat) for address in addresses]


def send_urgent_heartbeat(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Sends a heartbeat immediately, also to other data centres."""
    state.is_heartbeat_urgent = True
    return send_heartbeat(state, now=now)


def remove_expired(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Removes expired sessions, peer load, crash suspects and entries."""
    alive_s = state.settings.bounds.session_s + defaults.SESSION_MARGIN_S
    state.sessions.remove_expired(now=now, alive_s=alive_s)
    state.peer_workload.drop_expired(now=now)
    state.unanswered.remove_expired(now=now)
    state.usual_times.remove_expired(now=now)
    out = [
        *log_removed_suspects(
            state.suspects.remove_expired(now=now), reason="old"
        ),
        *log_removed_suspects(
            state.suspects.evict_excess(), reason="want of room"
        ),
    ]
    for name in state.entries.remove_expired(now=now):
        out.append(fx.LogDecision(decision="entry_silent", reason=name))
        out.append(effects.DeregisterEntry(name))
    return out


def log_removed_suspects(
    traits: list[str], *, reason: str
) -> list[effects.Effect]:
    """Returns the log line and count of removed crash suspects, if any."""
    if not traits:
        return []
    return [
        fx.LogDecision(
            decision="suspects_forgotten",
            reason=reason,
            inputs=(
                ("count", len(traits)),
                (
                    "traits",
                    ",".join(traits[:MAX_LOGGED_TRAITS]),
                ),
            ),
        ),
        fx.Count("suspects_forgotten", len(traits)),
    ]


def send_load_update(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Sends the load to entries of this data centre between heartbeats."""
    state.next_load_update_at = None
    loads = messages.LoadUpdate(
        name=state.settings.name,
        loads=engine_load.list_loads(state.view, now=now),
    )
    nearby = state.entries.list_addresses_in(state.settings.data_centre)
    return [core_effects.Send(address, loads) for address in nearby]
