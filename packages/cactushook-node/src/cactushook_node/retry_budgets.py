"""The retry budgets of a node: its share of what the whole fleet may retry."""

from cactushook import RetryBudget
from cactushook.retries import Budget
from cactushook.retries import WindowBudget

from .environment import Environment

# Minimum number of hosts among which the fleet's retry budget is divided.
MIN_FLEET_HOSTS = 4
# Share of the fleet's retry budget that nodes use. The rest is a margin, because nodes
# differ in their views of the fleet's size.
FLEET_BUDGET_SHARE = 0.62
# Share of the fleet's retry budget for retries after a worker reported a failure.
WORKER_FAILED_SHARE = 0.15


class RetryBudgets:
    """Holds a retry budget for each service.

    With a ratio in the settings, the fleet's budget is divided among its nodes;
    otherwise each service's team file gives the budget of one node.

    Args:
        environment: the node's central object.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._budgets: dict[str, Budget] = {}
        self._fleet_hosts = MIN_FLEET_HOSTS

    def get(self, service: str, nested: bool = False) -> Budget:
        """Returns the budget of a service at present, as its nested requests use it."""
        budget = self._get(service)
        if nested and isinstance(budget, WindowBudget):
            return budget.nested
        return budget

    def _get(self, service: str) -> Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._create_budget(service)
        if isinstance(budget, WindowBudget):
            self._update(budget)
        return budget

    def charge(self, service: str, count: float) -> None:
        """Counts retries that a worker is expected to make at a service."""
        budget = self._get(service)
        if isinstance(budget, WindowBudget):
            budget.charge(count)

    def _create_budget(self, service: str) -> Budget:
        settings = self._environment.settings.retry
        if settings.ratio:
            return WindowBudget(
                settings.ratio * FLEET_BUDGET_SHARE,
                0.0,
                settings.window_ms,
                settings.ratio * WORKER_FAILED_SHARE,
            )
        team_file = self._environment.store.snapshot.services[service]
        return RetryBudget(team_file.retry_budget_permille)

    def _update(self, budget: WindowBudget) -> None:
        """Moves the window to the present and shares the slack among all hosts.

        The largest fleet size seen counts, because hosts that this node no longer
        sees may still be alive and retry.
        """
        environment = self._environment
        self._fleet_hosts = max(self._fleet_hosts, environment.membership.live_count)
        slack = environment.settings.retry.slack
        budget.slack = slack * FLEET_BUDGET_SHARE / self._fleet_hosts
        budget.advance(environment.now_ms())
