"""Keys and encoding of the records in the store, and of messages about them."""

import typing as t

import msgspec

from ..resources import ZERO, Resources
from .layout import Layout
from .model import JobSpec, Progress, Suspect

__all__ = [
    "Allotment",
    "CANCEL_SUFFIX",
    "Claim",
    "GiveUp",
    "Identity",
    "Member",
    "StoredJobs",
    "WITHDRAWN",
    "allotment_key",
    "allotment_prefix",
    "cancel_key",
    "claim_key",
    "claim_prefix",
    "decode_allotment",
    "decode_claim",
    "decode_give_up",
    "decode_home_tenant",
    "decode_homes",
    "decode_identity",
    "decode_job",
    "decode_layout",
    "decode_member",
    "decode_progress",
    "decode_stored_jobs",
    "decode_workers",
    "encode",
    "encode_allotment",
    "encode_homes",
    "home_key",
    "is_withdrawn",
    "job_key",
    "job_prefix",
    "LAYOUT_SUFFIX",
    "layout_key",
    "member_key",
    "progress_key",
    "progress_prefix",
    "run_times_key",
    "sequence_key",
    "workers_key",
]

CANCEL_SUFFIX = ".cancel"
LAYOUT_SUFFIX = ".layout"
# Value of the key of a job's homes while no job may be stored under the id.
WITHDRAWN = b""

_encoder = msgspec.json.Encoder()
_jobs = msgspec.json.Decoder(JobSpec)
_progress = msgspec.json.Decoder(Progress)


class Claim(msgspec.Struct, frozen=True):
    """Process that owns a group of workers, and its address for peers."""

    process: str
    address: str


class Identity(msgspec.Struct, frozen=True):
    """Process by its name, and its incarnation, which differs after a restart.

    `address` is its address for peers.
    """

    process: str = ""
    incarnation: str = ""
    address: str = ""


class GiveUp(msgspec.Struct, frozen=True):
    """Message to an earlier owner of a group, which was claimed at a revision."""

    group: str
    revision: int
    owner: Identity


class Member(msgspec.Struct, frozen=True):
    """Scheduler process, as listed in the store for its peers.

    `strength` rates its processor share and network link, from 0 to 1 (sufficient to
    own a group).
    """

    process: str
    address: str
    data_centre: str = ""
    strength: float = 1.0
    incarnation: str = ""


class StoredJobs(msgspec.Struct, frozen=True):
    """Message: jobs and cancellations of a group that were stored at a revision."""

    group: str
    revision: int
    specs: list[JobSpec] = []
    cancelled: list[str] = []


class Allotment(msgspec.Struct, frozen=True):
    """Division of a tenant's cap among partitions; amounts by partition.

    `cap` is at least the sum of `granted`; components that are 0 have no limit.
    `wanted` is what partitions need beyond `granted`. `readable` is False if a part of
    the record could not be decoded and was left out.
    """

    cap: Resources = ZERO
    granted: dict[str, Resources] = {}
    wanted: dict[str, Resources] = {}
    readable: bool = True


_stored = msgspec.json.Decoder(StoredJobs)
_claims = msgspec.json.Decoder(Claim)
_identities = msgspec.json.Decoder(Identity)
_give_ups = msgspec.json.Decoder(GiveUp)
_members = msgspec.json.Decoder(Member)
_workers = msgspec.json.Decoder(dict[str, Suspect])
_allotments = msgspec.json.Decoder(dict[str, t.Any])
_layouts = msgspec.json.Decoder(Layout)
encode: t.Callable[[t.Any], bytes] = _encoder.encode


def job_prefix(group: str) -> str:
    """Return the key prefix of the jobs and cancellations of a group of workers."""
    return f"job/{group}/"


def job_key(group: str, job_id: str) -> str:
    """Return the key of an accepted job."""
    return f"job/{group}/{job_id}"


def cancel_key(group: str, job_id: str) -> str:
    """Return the key whose presence cancels a job."""
    return f"job/{group}/{job_id}{CANCEL_SUFFIX}"


def progress_prefix(group: str) -> str:
    """Return the key prefix of the progress of a group's jobs."""
    return f"progress/{group}/"


def progress_key(group: str, job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{group}/{job_id}"


def home_key(job_id: str) -> str:
    """Return the key that holds the names of the partitions to which a job belongs.

    A job is stored only where this key does not exist, so that an id that is sent to
    several processes names one job, whichever partition each of them chooses.
    """
    return f"home/{job_id}"


def is_withdrawn(value: bytes) -> bool:
    """Return whether the key of a job's homes marks the id of the job as withdrawn."""
    return value == WITHDRAWN


def encode_homes(partitions: t.Iterable[str], tenant: str = "") -> bytes:
    """Encode the names of the partitions to which a job belongs, and of its tenant.

    The name of the tenant, if any, follows after a NUL.
    """
    names = "\n".join(partitions)
    return (f"{names}\0{tenant}" if tenant else names).encode()


def decode_homes(value: bytes) -> tuple[str, ...]:
    """Decode the names of the partitions to which a job belongs."""
    names, _, _ = value.partition(b"\0")
    return tuple(names.decode("utf-8", "replace").split("\n"))


def decode_home_tenant(value: bytes) -> str:
    """Decode the name of the tenant to which a job belongs; empty for none."""
    _, _, tenant = value.partition(b"\0")
    return tenant.decode("utf-8", "replace")


def claim_prefix() -> str:
    """Return the key prefix of the claims and layouts."""
    return "owner/"


def claim_key(group: str) -> str:
    """Return the key of a partition's `Claim`, which is bound to the owner's lease."""
    return f"owner/{group}"


def layout_key(group: str) -> str:
    """Return the key of a group's `Layout`; the claims are watched together with it."""
    return f"owner/{group}{LAYOUT_SUFFIX}"


def member_key(process: str) -> str:
    """Return the key of a process's `Member` entry."""
    return f"member/{process}"


def run_times_key(group: str) -> str:
    """Return the key of the summary of a partition's learned run times."""
    return f"runtimes/{group}"


def sequence_key(group: str) -> str:
    """Return the key that every write of a group's owner expects and changes.

    A write that is carried out late thus fails instead of undoing a newer one. The
    value is the `Identity` of the owner.
    """
    return f"sequence/{group}"


def allotment_prefix() -> str:
    """Return the key prefix of the divisions of tenants' caps."""
    return "allotment/"


def allotment_key(tenant: str) -> str:
    """Return the key of a tenant's `Allotment`."""
    return f"allotment/{tenant}"


def encode_allotment(allotment: Allotment) -> bytes:
    """Encode the division of a tenant's cap; amounts are lists of three integers."""
    return encode(
        {
            "cap": _amounts(allotment.cap),
            "granted": {name: _amounts(x) for name, x in allotment.granted.items()},
            "wanted": {name: _amounts(x) for name, x in allotment.wanted.items()},
        }
    )


def decode_allotment(value: bytes) -> Allotment:
    """Decode the division of a tenant's cap, without the parts that are unreadable."""
    try:
        found = _allotments.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # Callers log it, since they know whether it is already known.
        return Allotment(readable=False)
    cap = _parse_amounts(found.get("cap"))
    granted, granted_ok = _parse_parts(found.get("granted"))
    wanted, wanted_ok = _parse_parts(found.get("wanted"))
    readable = cap is not None and granted_ok and wanted_ok
    return Allotment(cap or ZERO, granted, wanted, readable)


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_m, resources.mem_mb, resources.gpus


def _parse_amounts(found: t.Any) -> Resources | None:
    """Return the resources of a list of three integers, or None if it is none."""
    if not isinstance(found, list) or len(found) != 3:
        return None
    if not all(type(amount) is int and amount >= 0 for amount in found):
        return None
    return Resources(*found)


def _parse_parts(found: t.Any) -> tuple[dict[str, Resources], bool]:
    """Return the readable amounts by partition, and whether all are readable."""
    if not isinstance(found, dict):
        return {}, False
    parsed = {name: _parse_amounts(amounts) for name, amounts in found.items()}
    parts = {name: amounts for name, amounts in parsed.items() if amounts is not None}
    return parts, len(parts) == len(parsed)


def workers_key(group: str) -> str:
    """Return the key of the workers that may hold runs of a group."""
    return f"workers/{group}"


def decode_job(value: bytes) -> JobSpec:
    """Decode a job; raises `msgspec.DecodeError`."""
    return _jobs.decode(value)


def decode_progress(value: bytes) -> Progress:
    """Decode a job's progress; raises `msgspec.DecodeError`."""
    return _progress.decode(value)


def decode_stored_jobs(value: bytes) -> StoredJobs:
    """Decode a message about stored jobs; raises `msgspec.DecodeError`."""
    return _stored.decode(value)


def decode_claim(value: bytes) -> Claim:
    """Decode a claim; raises `msgspec.DecodeError`."""
    return _claims.decode(value)


def decode_give_up(value: bytes) -> GiveUp:
    """Decode a message to an earlier owner; raises `msgspec.DecodeError`."""
    return _give_ups.decode(value)


def decode_identity(value: bytes) -> Identity:
    """Decode the identity of an owner; raises `msgspec.DecodeError`."""
    return _identities.decode(value) if value else Identity()


def decode_layout(value: bytes) -> Layout:
    """Decode the layout of a group; raises `msgspec.DecodeError`."""
    return _layouts.decode(value)


def decode_member(value: bytes) -> Member:
    """Decode a process's entry; raises `msgspec.DecodeError`."""
    return _members.decode(value)


def decode_workers(value: bytes) -> dict[str, Suspect]:
    """Decode the workers that may hold runs; raises `msgspec.DecodeError`."""
    return _workers.decode(value)
