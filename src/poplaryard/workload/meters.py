"""Metrics of one process: counters, histograms and gauges."""

import os
import pathlib
import typing as t

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Meters"]

BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, float("inf")]
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

_COUNTERS = {
    "poplaryard_jobs_total": "Jobs handed in, by outcome.",
    "poplaryard_ids_withdrawn_total": "Unknown jobs that were cancelled.",
    "poplaryard_jobs_finished_total": "Jobs that this owner finished, by state.",
    "poplaryard_key_checks_total": "Checks of tenants' keys, by outcome.",
    "poplaryard_starts_total": "Orders to start a run, by outcome.",
    "poplaryard_runs_ended_total": "Runs that ended, by how.",
    "poplaryard_advice_total": "Calls for advice, by outcome.",
    "poplaryard_workers_ejected_total": "Workers ejected after failed runs.",
    "poplaryard_crashing_tasks_total": "Workers that crashed at once under a task.",
    "poplaryard_owner_changes_total": "Groups taken over and given up.",
    "poplaryard_worker_restarts_total": "Restarts of workers under their ids.",
    "poplaryard_late_starts_total": "Starts without an answer that hold tasks back.",
    "poplaryard_allotment_moves_total": "Changes of allotments, by direction.",
    "poplaryard_allotment_replies_lost_total": "Allotment writes without a reply.",
}
_HISTOGRAMS = {
    "poplaryard_accept_seconds": "Time to store a job that was handed in.",
    "poplaryard_first_start_seconds": "Time from acceptance to the first start.",
    "poplaryard_job_seconds": "Time from acceptance to the end of a job.",
    "poplaryard_take_over_seconds": "Time from a claim until work can start.",
    "poplaryard_note_seconds": "Time of a write of progress.",
}
_GAUGES = {
    "poplaryard_store_calls": "Calls of the store so far, by call.",
    "poplaryard_config_age_seconds": "Age of the confirmed configuration.",
    "poplaryard_group": "Figures of the groups that the process owns.",
    "poplaryard_tenant": "Figures of tenants in the groups that the process owns.",
    "poplaryard_waiting_tasks": "Tasks that have waited for over 3 s, by reason.",
    "poplaryard_longest_wait_seconds": "Longest wait of such a task, by reason.",
    "poplaryard_log_lines_dropped": "Log lines that nobody read in time.",
    "process_resident_memory_bytes": "Resident memory.",
    "process_cpu_seconds": "Processor time used.",
}


def _escape(value: str) -> str:
    """Return a label value for the text format; aioprometheus writes it unchanged."""
    value = value.replace("\\", r"\\").replace('"', r"\"")
    return value.replace("\n", r"\n")


class Meters:
    """Registry of the process's metrics.

    Labels take few different values, to keep the number of time series small.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters = {
            name: Counter(name, doc, registry=self._registry)
            for name, doc in _COUNTERS.items()
        }
        self._histograms = {
            name: Histogram(name, doc, registry=self._registry, buckets=BUCKETS_S)
            for name, doc in _HISTOGRAMS.items()
        }
        self._gauges = {
            name: Gauge(name, doc, registry=self._registry)
            for name, doc in _GAUGES.items()
        }
        self._replaceable: dict[tuple[str, str], list[dict[str, str]]] = {}

    def count(self, name: str, outcome: str = "") -> None:
        """Increment a counter."""
        self._counters[name].inc({"outcome": outcome} if outcome else {})

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        self._histograms[name].observe({}, seconds)

    def set(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set(labels, value)

    def replace(
        self, name: str, scope: str, samples: t.Iterable[tuple[dict[str, str], float]]
    ) -> None:
        """Set the samples of a gauge, and remove those of the last call.

        Parameters
        ----------
        scope : str
            Only samples of earlier calls with the same scope are removed.
        samples : iterable of tuple of (dict, float)
            Labels and values. Samples of different scopes differ in their labels.
        """
        gauge = self._gauges[name]
        for labels in self._replaceable.pop((name, scope), ()):
            del gauge.values[labels]
        for labels, value in samples:
            labels = {key: _escape(label) for key, label in labels.items()}
            gauge.set(labels, value)
            self._replaceable.setdefault((name, scope), []).append(labels)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
        times = os.times()
        self.set("process_resident_memory_bytes", {}, pages * _PAGE_BYTES)
        self.set("process_cpu_seconds", {}, times.user + times.system)
        content: t.Any = render(self._registry, [])[0]
        return bytes(content)
