"""Templates of tickets, for operators to fill in."""

import datetime
import json
import secrets
import typing as t

from .tickets import FORMAT

__all__ = ["KIND_NAMES", "new_ticket"]

_HEADER = """\
// A ticket holds the whole new state of each object, not only what changes.
// Sizes have units, such as "8 cores", "500m" (half a core), "32 GB", "30 s".
// To remove an object, write {"kind": ..., "name": ..., "remove": true}.
"""
_EXAMPLES: dict[str, dict[str, t.Any]] = {
    "service": {
        "team": "",
        "replicas": 1,
        "cpu": "1 core",
        "memory": "1 GB",
        "gpus": 0,
        "group": "",
    },
    "batch": {
        "team": "",
        "tasks": 1,
        "cpu": "1 core",
        "memory": "1 GB",
        "gpus": 0,
        "gang": False,
        "declared": "60 s",
    },
    "vm_group": {
        "cpu": "16 cores",
        "memory": "32 GB",
        "gpus": 0,
        "vms": [
            {
                "name": "vm1",
                "data_centre": "dc1",
                "rack": "r1",
                "address": "10.0.0.1:7000",
            }
        ],
        "leaving": [],
    },
    "team": {
        "weight": 1,
        "limit_cpu": "64 cores",
        "limit_memory": "128 GB",
        "limit_gpus": 0,
    },
    "work_kind": {
        "target": "",
        "idempotent": True,
        "exclusive": False,
        "timeout": "30 s",
        "max_attempts": 3,
    },
    "policy": {"shards_per_data_centre": 1, "queue_limit": 20_000},
}
KIND_NAMES = list(_EXAMPLES)


def new_ticket(
    kind: str,
    name: str,
    author: str,
    current: t.Mapping[str, t.Any] | None,
    number: int | None,
    wall: float,
) -> str:
    """Return the commented text of a ticket that sets one object.

    Parameters
    ----------
    current : mapping or None
        Object in force; None if it does not exist.
    number : int or None
        Number of the configuration that holds `current`; None if there is none.
    wall : float
        Seconds since the Unix epoch.
    """
    item = current or {"kind": kind, "name": name, **_EXAMPLES[kind]}
    day = datetime.datetime.fromtimestamp(wall, datetime.UTC).strftime("%Y-%m-%d")
    value: dict[str, t.Any] = {
        "format": FORMAT,
        "uid": f"{day}-{secrets.token_hex(6)}",
        "author": author,
        "note": "",
    }
    if number is not None:
        value["based_on"] = number
    value["objects"] = [item]
    heading = "Below is the present state" if current else "Below are example values"
    comment = f"// {heading} of {kind} {name}.\n"
    return f"{_HEADER}{comment}{json.dumps(value, indent=2)}\n"
