"""Keeps an unexpected error in one task from ending the process."""

import typing as t

import trio

from .environment import Environment

RESTART_DELAY_S = 0.25
PLACE = "task"


class TaskStarter(t.Protocol):
    """Starts background tasks, as a nursery does."""

    def start_soon(
        self, function: t.Callable[..., t.Awaitable[t.Any]], *arguments: t.Any
    ) -> None:
        """Starts a task and returns at once."""


class Supervisor:
    """Starts tasks whose unexpected errors are logged and end only the task.

    Args:
        environment: the node's central object.
        nursery: runs the tasks.
    """

    def __init__(self, environment: Environment, nursery: trio.Nursery) -> None:
        self._environment = environment
        self._nursery = nursery

    def start_soon(
        self, function: t.Callable[..., t.Awaitable[t.Any]], *arguments: t.Any
    ) -> None:
        """Starts a task and returns at once."""
        self._nursery.start_soon(self._run, function, arguments)

    async def _run(
        self,
        function: t.Callable[..., t.Awaitable[t.Any]],
        arguments: tuple[t.Any, ...],
    ) -> None:
        try:
            await function(*arguments)
        except Exception as error:
            self._environment.record_failure(PLACE, error)


async def keep_running(
    environment: Environment, function: t.Callable[[], t.Awaitable[t.Any]]
) -> None:
    """Runs a task that the node needs, and restarts it after an unexpected error."""
    while True:
        try:
            await function()
            return
        except Exception as error:
            environment.record_failure(PLACE, error)
        await trio.sleep(RESTART_DELAY_S)
