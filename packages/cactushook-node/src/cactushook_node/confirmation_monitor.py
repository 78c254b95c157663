"""Records when the configuration in force was last known to be the store's."""

import typing as t

from .environment import Environment


class ConfirmationMonitor:
    """Passes confirmations on and reports whether keys are accepted.

    Args:
        environment: the node's central object.
        sources: each returns up to which time a source knows the store's contents.
        is_settled: returns whether what the node knows is in force.
    """

    def __init__(
        self,
        environment: Environment,
        sources: t.Sequence[t.Callable[[], float]],
        is_settled: t.Callable[[], bool],
    ) -> None:
        self._environment = environment
        self._sources = sources
        self._is_settled = is_settled
        self._did_allow = True
        self._started_ms = environment.now_ms()

    def is_awaited(self) -> bool:
        """Returns whether a node that has just started should wait for confirmation.

        Most confirmations come within a second of the configuration. Without one, the
        node serves what needs no key.
        """
        environment = self._environment
        now_ms = environment.now_ms()
        waited_ms = now_ms - self._started_ms
        return (
            bool(environment.store.snapshot.workspaces)
            and waited_ms <= environment.settings.boot_wait_ms
            and not environment.confirmation.allows_keys(now_ms)
        )

    def update(self, now_ms: float) -> None:
        """Records the latest confirmation; logs when keys begin or cease to count."""
        environment = self._environment
        confirmation = environment.confirmation
        if self._is_settled():
            confirmation.record(max(source() for source in self._sources))
        age_ms = confirmation.age_ms(now_ms)
        environment.metrics.confirmation_age.set(age_ms / 1_000)
        allows = confirmation.allows_keys(now_ms)
        has_workspaces = bool(environment.store.snapshot.workspaces)
        if not has_workspaces or allows is self._did_allow:
            return
        self._did_allow = allows
        if allows:
            environment.log.info("configuration_confirmed")
        else:
            environment.log.warning("configuration_unconfirmed")
