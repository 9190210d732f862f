"""Cell in one process: platform and worker stand-ins, and entry applications."""

import asyncio
import typing as t

from .app import Application
from .client import HttpClient, Reply
from .messages import WorkKind
from .resources import Resources
from .settings import Keys, Limits, Settings
from .standin_platform_http import PlatformHost
from .standin_worker import Faults, WorkerVm
from .standin_worker_http import WorkerHost

__all__ = ["CALLER_KEY", "OPERATOR_KEY", "Cell", "ServiceShape"]

# Fixed keys are safe here: the cell is reached over loopback only and ends with its
# process.
CALLER_KEY = "demo-caller-key"
OPERATOR_KEY = "demo-operator-key"
PEER_KEY = "demo-peer-key"
CALL_TIMEOUT_S = 30.0
READY_LIMIT_S = 15.0
READY_PERIOD_S = 0.05


class ServiceShape(t.NamedTuple):
    """Service and the VM group that it runs on.

    Attributes
    ----------
    name : str
        Name of the service, its team and its VM group.
    workers : int
        Workers in each data centre.
    capacity : Resources
        Capacity of each worker.
    replicas : int
        Executors in the whole cell.
    need : Resources
        Resources of each executor.
    rack_size : int
        Workers in each rack.
    """

    name: str
    workers: int
    capacity: Resources
    replicas: int
    need: Resources
    rack_size: int = 5


class Cell:
    """Platform, workers and entry applications on free ports of the loopback.

    Parameters
    ----------
    data_centres : sequence of str
    entries : int
        Entry applications in each data centre.
    shapes : sequence of ServiceShape
    shards : int
        Shards in each data centre.
    """

    def __init__(
        self,
        data_centres: t.Sequence[str],
        entries: int,
        shapes: t.Sequence[ServiceShape],
        shards: int = 1,
    ):
        self.platform = PlatformHost()
        self.shapes = shapes
        self.apps: list[Application] = []
        self._data_centres = data_centres
        self._entries = entries
        self._shards = shards
        self._hosts: dict[str, WorkerHost] = {}
        self._addresses: dict[str, str] = {}
        self._platform_address = ""
        self._caller = HttpClient(1024, CALLER_KEY)
        self._operator = HttpClient(16, OPERATOR_KEY)

    async def start(self) -> None:
        """Start everything; no configuration is in force yet."""
        self._platform_address = await self.platform.start()
        for data_centre in self._data_centres:
            host = WorkerHost(self._make_vms(data_centre))
            self._hosts[data_centre] = host
            self._addresses |= await host.start()
        for data_centre in self._data_centres:
            for number in range(self._entries):
                self._add_entry(data_centre, f"{data_centre}-entry-{number}")
        # The kernel chooses the ports, so that the addresses are known only now.
        for app in self.apps:
            app.listed_peers.update(self._peer_addresses())
        for app in self.apps:
            await app.start()

    async def stop(self) -> None:
        """Stop the entry applications together, then the stand-ins."""
        await asyncio.gather(*(app.stop() for app in self.apps))
        await asyncio.gather(self._caller.close(), self._operator.close())
        await asyncio.gather(*(host.stop() for host in self._hosts.values()))
        await self.platform.stop()

    def _add_entry(self, data_centre: str, name: str) -> None:
        settings = Settings(
            process=name,
            cell="demo",
            data_centre=data_centre,
            listen="127.0.0.1:0",
            platform=self._platform_address,
            keys=Keys(
                callers={"demo": CALLER_KEY},
                operators={"demo": OPERATOR_KEY},
                peer=PEER_KEY,
            ),
            limits=Limits(),
            log_level="error",
        )
        self.apps.append(Application(settings))

    async def wait_ready(self, ticket: int) -> bool:
        """Wait until every entry has a ticket in force and every shard has an owner.

        Return False if that takes longer than `READY_LIMIT_S`.
        """
        for _ in range(int(READY_LIMIT_S / READY_PERIOD_S)):
            if all(app.ticket() >= ticket for app in self.apps) and self._all_owned():
                return True
            await asyncio.sleep(READY_PERIOD_S)
        return False

    async def post(self, app: Application, path: str, body: t.Any) -> Reply:
        """Post a body to an entry with the caller's key."""
        url = f"http://{app.address}{path}"
        return await self._caller.post(url, body, CALL_TIMEOUT_S)

    async def file(self, app: Application, ticket: t.Any) -> Reply:
        """File a ticket at an entry with the operator's key."""
        url = f"http://{app.address}/v1/tickets"
        return await self._operator.post(url, ticket, CALL_TIMEOUT_S)

    def first_ticket(self) -> dict[str, t.Any]:
        """Return the ticket that defines all services, VM groups and the policy."""
        objects = [
            item for shape in self.shapes for item in self._ticket_objects(shape)
        ]
        policy = {"kind": "policy", "shards_per_data_centre": self._shards}
        return ticket("first-ticket", [*objects, policy])

    def worker(self, name: str) -> WorkerVm:
        """Return the stand-in of the worker with this name."""
        return next(host.vms[name] for host in self._hosts.values() if name in host.vms)

    def workers(self) -> list[WorkerVm]:
        """Return all worker stand-ins."""
        return [vm for host in self._hosts.values() for vm in host.vms.values()]

    def requests_ran(self) -> int:
        """Return the number of attempts of requests and job tasks that started."""
        records = (record for vm in self.workers() for record in vm.records)
        return sum(record.kind != WorkKind.SERVICE for record in records)

    def fail(self, name: str) -> None:
        """Make a worker stop answering, as if its VM had failed."""
        self.worker(name).set_faults(Faults(paused=True))

    def _all_owned(self) -> bool:
        """Return whether every shard has an owner."""
        owned = [shard for app in self.apps for shard in app.dispatcher.shards]
        return len(owned) == len(self._data_centres) * self._shards

    def _peer_addresses(self) -> dict[str, list[str]]:
        """Return the addresses of the entries by data centre."""
        addresses: dict[str, list[str]] = {}
        for app in self.apps:
            addresses.setdefault(app.settings.data_centre, []).append(app.address)
        return addresses

    def _make_vms(self, data_centre: str) -> list[WorkerVm]:
        return [
            WorkerVm(name, shape.capacity)
            for shape in self.shapes
            for name in _vm_names(data_centre, shape)
        ]

    def _ticket_objects(self, shape: ServiceShape) -> list[dict[str, t.Any]]:
        """Return the ticket objects of a service and its VM group."""
        group = {
            "kind": "vm_group",
            "name": shape.name,
            **_resource_fields(shape.capacity),
        }
        group["vms"] = [
            {
                "name": name,
                "data_centre": data_centre,
                "rack": f"{data_centre}-{shape.name}-{index // shape.rack_size}",
                "address": self._addresses[name],
            }
            for data_centre in self._data_centres
            for index, name in enumerate(_vm_names(data_centre, shape))
        ]
        return [group, service(shape, shape.replicas)]


def service(shape: ServiceShape, replicas: int) -> dict[str, t.Any]:
    """Return the ticket object of a service."""
    return {
        "kind": "service",
        "name": shape.name,
        "team": shape.name,
        "group": shape.name,
        "replicas": replicas,
        **_resource_fields(shape.need),
    }


def ticket(uid: str, objects: t.Sequence[dict[str, t.Any]]) -> dict[str, t.Any]:
    """Return the body of a ticket with these objects."""
    return {"format": 1, "uid": uid, "author": "demo", "objects": list(objects)}


def _vm_names(data_centre: str, shape: ServiceShape) -> list[str]:
    return [f"{data_centre}-{shape.name}-{index}" for index in range(shape.workers)]


def _resource_fields(amount: Resources) -> dict[str, t.Any]:
    """Return resources as the fields of a ticket object."""
    return {
        "cpu": f"{amount.cpu_m}m",
        "memory": f"{amount.mem_mb} MB",
        "gpus": amount.gpus,
    }
