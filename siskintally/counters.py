"""Metrics of a control plane process: counters, gauges, and latency histograms for Prometheus.

>>> from siskintally.counters import Counters
>>> counters = Counters()
>>> counters.starts.inc(2)
>>> "siskintally_starts_total 2.0" in counters.to_text()
True
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Counters:
    """Metrics of one process in a separate registry; each public attribute is a metric."""

    __slots__ = (
        "_registry",
        "advice_seconds",
        "cancellations",
        "ends",
        "flow_errors",
        "leader_contact_losses",
        "leader_notice_age",
        "leases_expired",
        "refusals",
        "reloads",
        "request_seconds",
        "requests",
        "runs_released",
        "sessions_ended",
        "start_seconds",
        "starts",
        "starts_refused",
        "starts_unanswered",
        "stops",
        "stops_confirmed",
        "stops_dropped",
        "stops_unconfirmed",
        "throttles",
        "unexpected_runs",
    )

    def __init__(self):
        self._registry = CollectorRegistry()
        self.requests = self._counter("requests", "Calls about flows.", "call", "outcome")
        self.request_seconds = self._histogram("request_seconds", "Time of calls.", "call")
        self.refusals = self._counter("refusals", "Requests refused by an entry.", "reason", "call")
        self.leader_contact_losses = self._counter(
            "leader_contact_losses", "Times an entry lost contact with the leader."
        )
        self.leader_notice_age = Gauge(
            "siskintally_leader_notice_age_seconds",
            "Age of the last leader notice at an entry.",
            registry=self._registry,
        )
        self.sessions_ended = self._counter("sessions_ended", "Ended links.", "reason")
        self.cancellations = self._counter(
            "cancellations", "Commits of cancellations by the leader.", "outcome"
        )
        self.reloads = self._counter("reloads", "Reloads of the settings.", "outcome")
        self.starts = self._counter("starts", "Start orders for tasks.")
        self.starts_refused = self._counter(
            "starts_refused", "Refused starts.", "reason", "after_unanswered"
        )
        self.starts_unanswered = self._counter(
            "starts_unanswered", "Attempts to send a start that may have reached the worker."
        )
        self.runs_released = self._counter(
            "runs_released", "Runs that count as over without a reported end.", "cause"
        )
        self.start_seconds = self._histogram("start_seconds", "Acceptance to start of a task.")
        self.ends = self._counter("ends", "Ends of tasks.", "how")
        self.flow_errors = self._counter(
            "flow_errors", "Unexpected errors in the handling of a flow.", "error"
        )
        self.stops = self._counter("stops", "Stop orders for tasks.")
        self.stops_confirmed = self._counter("stops_confirmed", "Stop orders that were confirmed.")
        self.stops_dropped = self._counter("stops_dropped", "Stop orders never sent.", "reason")
        self.stops_unconfirmed = self._counter(
            "stops_unconfirmed", "Stop orders given up without a confirmation.", "reason"
        )
        self.unexpected_runs = self._counter(
            "unexpected_runs", "Runs on workers that the scheduler does not expect."
        )
        self.throttles = self._counter("paces", "Pace orders for filling tasks.")
        self.leases_expired = self._counter("workers_lapsed", "Leases of workers that ended.")
        self.advice_seconds = self._histogram("advice_seconds", "Calls to the advice service.")

    def _counter(self, name, help_text, *labels):
        return Counter(f"siskintally_{name}", help_text, labels, registry=self._registry)

    def _histogram(self, name, help_text, *labels):
        return Histogram(
            f"siskintally_{name}", help_text, labels, registry=self._registry, buckets=BUCKETS_S
        )

    def to_text(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry).decode()
