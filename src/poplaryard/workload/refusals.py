"""Time after which the caller of a refused job should try again."""

from .model import JobSpec

__all__ = ["retry_after_s"]

# Limits of the time, in seconds. Within the shortest, the load balancer has noticed a
# process that is not ready, or a short outage is over. Outages of the store last up to
# 7 s, and callers try five times.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 3.0
# Share of the time that a job has to spare after which its caller returns. Callers with
# time to spare use up their tries more slowly, and leave the first moments after an
# outage to short jobs.
SPARE_SHARE = 1 / 3


def retry_after_s(spec: JobSpec) -> float:
    """Return when to send a refused job again, in seconds."""
    spare_s = spec.objective_s() - spec.critical_path_s()
    return min(RETRY_MAX_S, max(RETRY_MIN_S, SPARE_SHARE * spare_s))
