"""Roll-out orders at a sidecar: fencing, execution and reporting.

Some engines execute any order, so the sidecar itself refuses orders whose
fencing number is lower than the highest that it knows. It stores nothing on
disk: after a restart it accepts no order until it has received a fencing
number from the engine or from an announcement.

A load is sent to the engine at once. An unload is held back until no request
for its version is waiting or running; meanwhile new requests for that version
are refused as not run. A higher fencing number discards the unloads held
back, since the new owner decides from the current state. An order stays open
until a later observation of the engine shows its effect.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from rhubarbbank_core import order_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import rollout
from rhubarbbank_core import rollout_duty
from rhubarbbank_core import table

# How long a completed order may take to appear in observations.
EFFECT_TIMEOUT_S = 3.0
FIRST_ERROR_STATUS = 400


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenOrder:
    """An accepted order that is still in progress.

    Attributes:
        fence: Its fencing number.
        action: Load or unload.
        key: The version to load or unload.
        id: The id that matches the engine's answer; 0 until it is sent.
        done_at: When the engine reported success, in seconds, or None.
    """

    fence: int
    action: rollout.Action
    key: table.VersionKey
    id: int = 0
    done_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderReport:
    """The fields of the sidecar's row that depend on orders.

    Attributes:
        fence: The highest fencing number known; 0 for none.
        versions: Versions that accept work, as `model@version`, sorted.
        loading: Versions being loaded, in the same form.
        unloading: Versions being unloaded, in the same form.
    """

    fence: int
    versions: tuple[str, ...]
    loading: tuple[str, ...]
    unloading: tuple[str, ...]


class SidecarOrders:
    """The roll-out orders of one sidecar.

    Attributes:
        upstream: The engine's name, for the log.
        fence: The highest fencing number known; 0 for none.
        loaded: Versions that the engine last reported as loaded.
        loading: Versions that the engine last reported as loading.
        open: Orders in progress, by version.
    """

    def __init__(self, *, upstream: str) -> None:
        self.upstream = upstream
        self.fence = 0
        self.loaded: frozenset[table.VersionKey] = frozenset()
        self.loading: frozenset[table.VersionKey] = frozenset()
        self.open: dict[table.VersionKey, OpenOrder] = {}
        self.last_id = 0

    def raise_fence(self, fence: int) -> None:
        """Adopts a higher number, and discards the unloads held back."""
        if fence <= self.fence:
            return
        self.fence = fence
        for key, order in list(self.open.items()):
            if order.action is rollout.Action.UNLOAD and not order.id:
                del self.open[key]

    def handle_order(
        self,
        message: order_messages.RolloutOrder,
        *,
        active_versions: Collection[table.VersionKey],
    ) -> list[fx.Effect]:
        """Accepts or refuses an order.

        Args:
            message: The order.
            active_versions: Versions with waiting or running attempts.
        """
        key = table.VersionKey(message.model, message.version)
        if not self.fence or message.fence < self.fence:
            return [self.log(key, "order_refused", "stale_order")]
        self.raise_fence(message.fence)
        action = rollout.Action(message.action)
        open_order = self.open.get(key)
        if open_order is not None and (
            open_order.id or open_order.action is action
        ):
            return []
        self.open.pop(key, None)
        is_held = key in self.loaded or key in self.loading
        if is_held is (action is rollout.Action.LOAD):
            return []
        self.open[key] = OpenOrder(fence=message.fence, action=action, key=key)
        return self.send_ready(active_versions=active_versions)

    def send_ready(
        self, *, active_versions: Collection[table.VersionKey]
    ) -> list[fx.Effect]:
        """Sends the engine all unsent orders except unloads in use."""
        out: list[fx.Effect] = []
        for order in self.open.values():
            is_blocked = (
                order.action is rollout.Action.UNLOAD
                and order.key in active_versions
            )
            if order.id or is_blocked:
                continue
            self.last_id += 1
            order.id = self.last_id
            out += [
                fx.OrderUpstream(
                    order_id=order.id,
                    order=order.action,
                    model=order.key.model,
                    version=order.key.version,
                    fence=order.fence,
                ),
                self.log(order.key, "order_handed_over", order.action),
            ]
        return out

    def finish(
        self, *, now: float, order_id: int, status: int
    ) -> list[fx.Effect]:
        """Handles the engine's answer; a failed order isn't retried here."""
        for key, order in self.open.items():
            if order.id != order_id:
                continue
            if 0 < status < FIRST_ERROR_STATUS:
                order.done_at = now
                return []
            del self.open[key]
            return [self.log(key, "order_failed", f"status {status}")]
        return []

    def observe(
        self,
        *,
        now: float,
        loaded: Iterable[str],
        loading: Iterable[str],
        last_fence: int,
    ) -> None:
        """Updates the engine's state, and closes orders that took effect."""
        self.loaded = rollout_duty.read_keys(loaded)
        self.loading = rollout_duty.read_keys(loading)
        self.raise_fence(last_fence)
        for key, order in list(self.open.items()):
            if order.done_at is None:
                continue
            is_visible = (key in self.loaded) is (
                order.action is rollout.Action.LOAD
            )
            if is_visible or now - order.done_at >= EFFECT_TIMEOUT_S:
                del self.open[key]

    def is_unloading(self, key: table.VersionKey) -> bool:
        """Returns whether a version is being unloaded."""
        order = self.open.get(key)
        return order is not None and order.action is rollout.Action.UNLOAD

    def report(self) -> OrderReport:
        """Returns the state of versions for the sidecar's row."""
        unloading = {key for key in self.open if self.is_unloading(key)}
        loading = (self.open.keys() | self.loading) - unloading - self.loaded
        return OrderReport(
            fence=self.fence,
            versions=format_versions(self.loaded - unloading),
            loading=format_versions(loading),
            unloading=format_versions(unloading),
        )

    def log(
        self, key: table.VersionKey, decision: str, reason: str
    ) -> fx.LogDecision:
        """Returns the log entry of a decision on an order."""
        return fx.LogDecision(
            decision=decision,
            model=key.model,
            version=key.version,
            upstream=self.upstream,
            reason=reason,
        )


def format_versions(keys: Iterable[table.VersionKey]) -> tuple[str, ...]:
    """Formats versions as `model@version`, sorted."""
    return tuple(sorted(map(str, keys)))
