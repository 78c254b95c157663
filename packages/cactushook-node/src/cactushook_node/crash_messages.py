"""Converts reports of crashes to messages between nodes, and back."""

from cactushook import CrashReport

from . import wire


def crash_to_message(report: CrashReport) -> wire.Message:
    """Converts a report to a message."""
    return wire.CrashMessage(
        service_name=report.service,
        fingerprint=report.fingerprint,
        host=report.host,
        variant=report.variant,
        crash_id=report.crash_id,
        age_ms=round(report.age_ms),
    )


def crash_from_message(message: wire.Message) -> CrashReport:
    """Converts a message to a report."""
    return CrashReport(
        service=message.service_name,
        fingerprint=message.fingerprint,
        host=message.host,
        variant=message.variant,
        crash_id=message.crash_id,
        age_ms=max(0, message.age_ms),
    )
