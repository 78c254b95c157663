"""Behave hooks that set up a scenario and release its resources afterwards."""

import contextlib
import typing as t


def before_scenario(context: t.Any, scenario: t.Any) -> None:
    context.resources = contextlib.ExitStack()
    context.transcript = []


def after_scenario(context: t.Any, scenario: t.Any) -> None:
    context.resources.close()
