"""Keys of tenants: whether a request may be served, and for which tenant.

A process knows a revocation only once it has read the configuration. With strict
revocation it therefore accepts keys only while its configuration is certainly recent.
"""

import enum
import hashlib
import os
import re
import typing as t
from dataclasses import dataclass, field

__all__ = [
    "MAX_KEY_BYTES",
    "KeyOutcome",
    "KeyPolicy",
    "KeyTable",
    "RefusalLog",
    "Verdict",
    "is_accessible",
]

# Longest key in bytes. Keys are short random texts; a digest of this many bytes takes
# about 2 µs.
MAX_KEY_BYTES = 1024
# Share of a time limit that is kept for the difference between the rates of this
# process's clock and others'. The leases of workers allow for as much.
CLOCK_RATE_MARGIN = 0.02
# Age of the confirmed configuration up to which an unknown key is certainly not in a
# configuration that has to be in force, in seconds. The limit for that is 3 s
# (`config_apply_ms`), less the margin of the clock. A watch call of 1 s that a slow
# store answers 0.24 s late, and the next one, take 2.5 s.
UNKNOWN_KEY_AGE_S = 3.0 * (1 - CLOCK_RATE_MARGIN)
# Least time between two log lines about refused requests, in seconds.
REFUSAL_LOG_S = 1.0

_WELL_FORMED = re.compile(rb"[!-~](?:[ -~]*[!-~])?\Z")
# Digests of one process are of no use elsewhere, also if keys are easy to guess.
_DIGEST_SECRET = os.urandom(32)


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=16, key=_DIGEST_SECRET).digest()


def _is_well_formed(key: bytes) -> bool:
    """Return whether a header can carry a key: printable ASCII without outer spaces."""
    return len(key) <= MAX_KEY_BYTES and _WELL_FORMED.match(key) is not None


class KeyTable:
    """Tenants by the digests of their keys; the keys themselves are not kept.

    Parameters
    ----------
    keys : iterable of tuple of (str, str)
        Name of a tenant and one of its keys. A key of two tenants names neither.

    Attributes
    ----------
    ambiguous : tuple of str
        Tenants with a key that another tenant has, too.
    unusable : tuple of str
        Tenants with a key that no request can carry.
    """

    def __init__(self, keys: t.Iterable[tuple[str, str]] = ()):
        self._tenants: dict[bytes, str | None] = {}
        ambiguous: dict[str, None] = {}
        unusable: dict[str, None] = {}
        first_tenants: dict[bytes, str] = {}
        for tenant, key in keys:
            data = key.encode("utf-8", "surrogatepass")
            if not _is_well_formed(data):
                unusable[tenant] = None
                continue
            digest = _digest(data)
            first = first_tenants.setdefault(digest, tenant)
            if first == tenant:
                self._tenants.setdefault(digest, tenant)
            else:
                self._tenants[digest] = None
                ambiguous |= {first: None, tenant: None}
        self.ambiguous = tuple(ambiguous)
        self.unusable = tuple(unusable)

    def __repr__(self) -> str:
        return f"KeyTable({len(self._tenants)} keys)"

    def tenant_of(self, key: bytes) -> str | None:
        """Return the tenant of a well-formed key, or None."""
        return self._tenants.get(_digest(key))


class KeyOutcome(enum.StrEnum):
    """Outcome of the check of a key.

    After `UNCERTAIN` the configuration may have changed: the caller should retry.
    """

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"
    UNCERTAIN = "uncertain"


class Verdict(t.NamedTuple):
    """Outcome of the check of a request's key.

    `tenant` is the tenant for which the request is served: empty for none, as on public
    queues, and None if the configuration has no tenants. `reason` tells why it was
    refused. `checked` is False where no key is required.
    """

    outcome: KeyOutcome
    tenant: str | None = None
    reason: str = ""
    checked: bool = True

    @property
    def accepted(self) -> bool:
        """Whether the request may be served."""
        return self.outcome is KeyOutcome.ACCEPTED


@dataclass(slots=True)
class KeyPolicy:
    """Decides whether a request with a key may be served.

    Attributes
    ----------
    revoke_s : float or None
        Time after which a revoked key must not be accepted, in seconds; None if known
        keys are accepted however old the configuration is.
    table : KeyTable or None
        Keys in the newest known configuration; None if it has no tenants. Until one is
        known, no key is accepted.
    confirmed_at : float
        Time after which `table` was certainly the newest, in seconds.
    """

    revoke_s: float | None = None
    table: KeyTable | None = field(default_factory=KeyTable)
    confirmed_at: float = float("-inf")

    def check(self, key: bytes | None, now: float, public: bool = False) -> Verdict:
        """Return the verdict on a request.

        Parameters
        ----------
        key : bytes or None
            Key of the request; None if it has none, or several.
        now : float
            Time in seconds, on the clock of `confirmed_at`.
        public : bool
            Whether the request's queue requires no key.
        """
        if self.table is None:
            return Verdict(KeyOutcome.ACCEPTED, checked=False)
        if public:
            return Verdict(KeyOutcome.ACCEPTED, "", checked=False)
        if key is None or not _is_well_formed(key):
            return Verdict(KeyOutcome.UNKNOWN, reason="no well-formed key")
        age_s = now - self.confirmed_at
        tenant = self.table.tenant_of(key)
        if tenant is None:
            if age_s < UNKNOWN_KEY_AGE_S:
                return Verdict(KeyOutcome.UNKNOWN, reason="unknown key")
            reason = "unknown key, and the configuration may have changed"
            return Verdict(KeyOutcome.UNCERTAIN, reason=reason)
        if self.revoke_s is not None and age_s >= self.revoke_s * (
            1 - CLOCK_RATE_MARGIN
        ):
            reason = "the configuration may have changed"
            return Verdict(KeyOutcome.UNCERTAIN, reason=reason)
        return Verdict(KeyOutcome.ACCEPTED, tenant)


def is_accessible(job_tenant: str, tenant: str | None) -> bool:
    """Return whether a request may see and cancel a job.

    Parameters
    ----------
    job_tenant : str
        Tenant of the job; empty for none. Such a job was submitted without a key and is
        accessible to all.
    tenant : str or None
        `Verdict.tenant` of the request.
    """
    return tenant is None or job_tenant in ("", tenant)


class RefusalLog:
    """Limits the rate of log lines about refused requests.

    One line stands for all refusals since the line before.
    """

    def __init__(self) -> None:
        self._next_at = float("-inf")
        self._count = 0

    def record(self, now: float) -> int:
        """Count a refusal; return the number to be logged, 0 for no line yet."""
        self._count += 1
        if now < self._next_at:
            return 0
        self._next_at = now + REFUSAL_LOG_S
        count, self._count = self._count, 0
        return count
