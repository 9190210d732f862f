"""Assignment of VMs to shards, and choice of the shard that work is sent to."""

import hashlib
import typing as t

from . import routing
from .configuration import Configuration, VmSpec
from .messages import Work, WorkKind
from .resources import Resources

__all__ = ["ShardMap"]


class ShardMap:
    """Shards of a cell under one configuration.

    The home shard of a key depends only on the data centres and the number of shards.
    So two processes agree on it even while a ticket that changes VMs comes into force.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self.config = Configuration()
        self._shards: dict[str, tuple[str, ...]] = {}
        self._all_shards: list[str] = []
        self._vm_shards: dict[str, str] = {}
        self._eligible: dict[tuple[str, Resources], list[str]] = {}
        self._vms: dict[str, dict[str, VmSpec]] = {}

    def configure(self, config: Configuration) -> None:
        """Apply a newer configuration."""
        if config.policy != self.config.policy:
            self._vm_shards.clear()
        self.config = config
        self._eligible.clear()
        self._vms.clear()
        count = config.policy.shards_per_data_centre
        centres = sorted({*config.data_centres(), self.data_centre})
        self._shards = {dc: tuple(routing.shard_names(dc, count)) for dc in centres}
        self._all_shards = [name for names in self._shards.values() for name in names]

    def local(self) -> tuple[str, ...]:
        """Return the shards of this data centre."""
        return self._shards.get(self.data_centre, ())

    def home(self, key: str) -> str:
        """Return the home shard of a key; empty before the first configuration."""
        return routing.home_shard(key, self._all_shards) if self._all_shards else ""

    def shard_for(self, work: Work) -> str:
        """Return the shard that work is sent to; empty if there is none.

        Work without a key goes to a shard with a VM that fits, if possible one of this
        data centre. A hash of the request id selects it, so that a retry at another
        entry process reaches the owner that knows the request.
        """
        key = routing.routing_key(work)
        if key:
            return self.home(key)
        eligible: t.Sequence[str] = self._eligible_shards(work) or self.local()
        return eligible[_hash_below(work.request_id, len(eligible))] if eligible else ""

    def vms_of(self, shard: str) -> dict[str, VmSpec]:
        """Return the VMs of a shard of this data centre by name."""
        if not self._vms:
            for vm in self.config.vms(self.data_centre):
                self._vms.setdefault(self._shard_of_vm(vm), {})[vm.name] = vm
        return self._vms.get(shard, {})

    def _shard_of_vm(self, vm: VmSpec) -> str:
        shard = self._vm_shards.get(vm.name)
        if shard is None:
            shard = routing.shard_of_vm(vm.name, self._shards[vm.data_centre])
            self._vm_shards[vm.name] = shard
        return shard

    def _eligible_shards(self, work: Work) -> list[str]:
        """Return the shard of each VM that fits: those of this data centre, else all.

        A shard is listed once per VM that fits, so that it gets work in proportion.
        Shards of a data centre with few VMs differ widely in size.
        """
        group, need = work.group, work.need
        if work.kind is WorkKind.REQUEST:
            spec = self.config.services.get(work.target)
            if spec is None:
                return []
            group, need = spec.group, spec.need
        found = self._eligible.get((group, need))
        if found is None:
            found = self._find_eligible(group, need)
            self._eligible[group, need] = found
        return found

    def _find_eligible(self, group: str, need: Resources) -> list[str]:
        groups = self.config.vm_groups
        selected = [groups[group]] if group in groups else list(groups.values())
        fitting = [
            vm for item in selected for vm in item.vms if need.fits_in(vm.capacity)
        ]
        local = [vm for vm in fitting if vm.data_centre == self.data_centre]
        vms = sorted(local or fitting, key=lambda vm: vm.name)
        return [self._shard_of_vm(vm) for vm in vms]


def _hash_below(text: str, count: int) -> int:
    """Return a hash of `text` in ``range(count)``, the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count
