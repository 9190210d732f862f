"""Which shard each VM belongs to, and which shards can hold a piece of work."""

import hashlib
import typing as t

from . import routing
from .configuration import Configuration, VmSpec
from .messages import Work, WorkKind
from .resources import Resources

__all__ = ["ShardMap"]


class ShardMap:
    """Shards of a cell under one configuration.

    The home of a key depends on the number of shards alone, so that two processes
    agree on it even while a ticket that changes VMs comes into force.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self.config = Configuration()
        self._names: dict[str, tuple[str, ...]] = {}
        self._cell: list[str] = []
        self._shard_of: dict[str, str] = {}
        self._able: dict[tuple[str, Resources], list[str]] = {}
        self._vms: dict[str, dict[str, VmSpec]] = {}

    def configure(self, config: Configuration) -> None:
        """Take a newer configuration."""
        if config.policy != self.config.policy:
            self._shard_of.clear()
        self.config = config
        self._able.clear()
        self._vms.clear()
        count = config.policy.shards_per_data_centre
        centres = sorted({*config.data_centres(), self.data_centre})
        self._names = {dc: tuple(routing.shard_names(dc, count)) for dc in centres}
        self._cell = [name for names in self._names.values() for name in names]

    def local(self) -> tuple[str, ...]:
        """Return the shards of this data centre."""
        return self._names.get(self.data_centre, ())

    def home(self, key: str) -> str:
        """Return the home shard of a key; empty before the first configuration."""
        return routing.home_shard(key, self._cell) if self._cell else ""

    def shard_for(self, work: Work) -> str:
        """Return the shard that work is sent to; empty if there is none.

        Work without a key goes by its request id to a shard of this data centre with a
        VM that fits, so that a caller that asks again at another entry process reaches
        the owner that knows the request.
        """
        key = routing.routing_key(work)
        if key:
            return self.home(key)
        able: t.Sequence[str] = self._able_shards(work) or self.local()
        return able[_spread(work.request_id, len(able))] if able else ""

    def vms_of(self, shard: str) -> dict[str, VmSpec]:
        """Return the VMs of a shard of this data centre by name."""
        if not self._vms:
            for vm in self.config.vms(self.data_centre):
                self._vms.setdefault(self._shard(vm), {})[vm.name] = vm
        return self._vms.get(shard, {})

    def _shard(self, vm: VmSpec) -> str:
        shard = self._shard_of.get(vm.name)
        if shard is None:
            shard = routing.shard_of_vm(vm.name, self._names[vm.data_centre])
            self._shard_of[vm.name] = shard
        return shard

    def _able_shards(self, work: Work) -> list[str]:
        """Return the shard of each VM for the work: here if any, else anywhere.

        A shard with more VMs is listed more often and so gets more work; shards of a
        data centre with few VMs differ widely in size.
        """
        group, need = work.group, work.need
        if work.kind is WorkKind.REQUEST:
            spec = self.config.services.get(work.target)
            if spec is None:
                return []
            group, need = spec.group, spec.need
        found = self._able.get((group, need))
        if found is None:
            found = self._search(group, need)
            self._able[group, need] = found
        return found

    def _search(self, group: str, need: Resources) -> list[str]:
        groups = self.config.vm_groups
        chosen = [groups[group]] if group in groups else list(groups.values())
        fitting = [
            vm for item in chosen for vm in item.vms if need.fits_in(vm.capacity)
        ]
        near = [vm for vm in fitting if vm.data_centre == self.data_centre]
        chosen_vms = sorted(near or fitting, key=lambda vm: vm.name)
        return [self._shard(vm) for vm in chosen_vms]


def _spread(text: str, count: int) -> int:
    """Return a number below `count`, the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count
