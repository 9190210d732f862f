"""Faults that the fuzzer picks from."""

import random
import typing as t

from .fuzz_node import Node, Ticket
from .fuzz_worker import FakeWorker
from .fuzz_world import World
from .ownership_messages import Leave

__all__ = ["Faults"]

MOST_WORKERS = 6


class Faults:
    """Faults of one world; each returns a text for the trace, or None if skipped.

    Attributes
    ----------
    world : World
    rng : random.Random
    """

    world: World
    rng: random.Random

    def __init__(self) -> None:
        # Cuts and other changes that happen at a later time.
        self._later: list[tuple[float, t.Callable[[], t.Any]]] = []

    def due(self) -> None:
        """Carry out the changes whose time has come."""
        now = self.world.true_time
        due = [change for at, change in self._later if at <= now]
        self._later = [item for item in self._later if item[0] > now]
        for change in due:
            change()

    def _after(self, low: float, high: float, change: t.Callable[[], t.Any]) -> None:
        at = self.world.true_time + self.rng.uniform(low, high)
        self._later.append((at, change))

    def _node(self) -> Node | None:
        """Return a process, more often than not one that owns a shard."""
        nodes = [n for n in self.world.nodes.values() if n.alive and not n.left]
        if self.rng.random() < 0.5:
            nodes = [n for n in nodes if n.ownership.owned] or nodes
        return self.rng.choice(nodes) if nodes else None

    def pause(self) -> str | None:
        """Pause a process, or wake a paused one."""
        node = self._node()
        if node is None:
            return None
        node.paused = not node.paused
        return f"{node.name} {node.paused}"

    def kill(self) -> str | None:
        """End a process without notice, and often start its next incarnation."""
        node = self._node()
        if node is None:
            return None
        node.alive = False
        node.paused = False
        return f"{node.name} {self._restart(node.name, node.dc)}"

    def _restart(self, name: str, dc: str) -> str:
        if self.rng.random() < 0.2 and len(self.world.nodes) > 1:
            return ""
        base, _, number = name.partition("#")
        again = f"{base}#{int(number) + 1}"
        self.world.add_node(again, dc)
        return again

    def leave(self) -> str | None:
        """Stop a process in a planned way and start another."""
        node = self._node()
        if node is None or node.paused:
            return None
        node.give(Leave())
        base, _, number = node.name.partition("#")
        self.world.add_node(f"{base}x#{number}", node.dc)
        return node.name

    def store(self) -> str:
        """Take a store down or bring it back."""
        dc = self.rng.choice(list(self.world.stores))
        store = self.world.stores[dc]
        store.down = not store.down and self.rng.random() < 0.7
        return f"{dc} {store.down}"

    def cut(self) -> str | None:
        """Cut two places off from each other."""
        world = self.world
        places = [*world.workers, *_places(world.nodes)]
        places += [f"store/{dc}" for dc in world.stores]
        pair = frozenset(self.rng.sample(places, 2))
        world.cuts.add(pair)
        return f"{sorted(pair)}"

    def isolate(self) -> str | None:
        """Cut a process off from its store and, at times, from everything."""
        node = self._node()
        if node is None:
            return None
        name = node.name.partition("#")[0]
        everything = self.rng.random() < 0.3
        others = [f"store/{node.dc}"]
        if everything:
            others += [n.partition("#")[0] for n in self.world.nodes]
        self.world.cuts |= {frozenset((name, other)) for other in others}
        return f"{name} {others}"

    def usurp(self) -> str | None:
        """Cut an owner off so that another takes over with workers out of reach."""
        rng, world = self.rng, self.world
        node = self._node()
        if node is None:
            return None
        if rng.random() < 0.7:
            world.cuts.clear()
        name, peers = self._and_peers(node)
        hidden = self._some_workers(2)
        pairs = [(name, f"store/{node.dc}")] if rng.random() < 0.8 else []
        pairs += [(peer, worker) for peer in peers for worker in hidden]
        if rng.random() < 0.3:
            pairs += self._joiner(node, name, hidden)
        self._cut(pairs)
        self._part(name, peers)
        return str(pairs)

    def _part(self, name: str, peers: list[str]) -> None:
        """Cut an owner off from its peers: at once, late, in between, or not at all."""
        pairs = [(name, peer) for peer in peers]
        choice = self.rng.random()
        if choice < 0.4:
            self._cut(pairs)
        elif choice < 0.6:
            self._after(4.0, 12.0, lambda: self._cut(pairs))
        elif choice < 0.85:
            self._cut(pairs)
            self._after(5.0, 9.0, lambda: self._uncut(pairs))
            self._after(6.0, 12.0, lambda: self._cut(pairs))

    def strand(self) -> str | None:
        """Cut an owner off from all but a worker that comes after its successor."""
        node = self._node()
        if node is None:
            return None
        name, peers = self._and_peers(node)
        workers = self._some_workers(MOST_WORKERS)
        pairs = [(name, f"store/{node.dc}"), *((name, peer) for peer in peers)]
        pairs += self._joiner(node, name, [])
        self._cut(pairs)
        self._after(5.0, 9.0, lambda: self._cut([(name, vm) for vm in workers]))
        self._after(6.0, 16.0, self.worker_comes)
        return str(pairs)

    def _and_peers(self, node: Node) -> tuple[str, list[str]]:
        name = node.name.partition("#")[0]
        return name, [n for n in _places(self.world.nodes) if n != name]

    def _some_workers(self, most: int) -> list[str]:
        workers = [w.name for w in self.world.workers.values() if not w.gone]
        return self.rng.sample(workers, min(len(workers), self.rng.randint(0, most)))

    def _joiner(
        self, node: Node, name: str, hidden: list[str]
    ) -> list[tuple[str, str]]:
        """Start a process that an owner and some workers cannot reach."""
        joiner = f"{node.dc}-j{self.world.next_id()}"
        self.world.add_node(f"{joiner}#1", node.dc)
        return [(joiner, name), *((joiner, worker) for worker in hidden)]

    def _cut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        self.world.cuts |= {frozenset(pair) for pair in pairs}

    def _uncut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        self.world.cuts -= {frozenset(pair) for pair in pairs}

    def slow_store(self) -> str:
        """Make the stores slow or fast; a slow one answers out of order, if at all."""
        self.world.slow_store = not self.world.slow_store
        return str(self.world.slow_store)

    def mend(self) -> str | None:
        """Remove one cut."""
        cuts = self.world.cuts
        if not cuts:
            return None
        pair = self.rng.choice(sorted(cuts, key=sorted))
        cuts.discard(pair)
        return str(sorted(pair))

    def heal(self) -> str:
        """Remove all cuts."""
        self.world.cuts.clear()
        return ""

    def worker_leaves(self) -> str | None:
        """Let a worker or the platform's list say that the VM is leaving."""
        worker = self._worker()
        if worker is None:
            return None
        if self.rng.random() < 0.5:
            worker.leaving = True
        else:
            self.world.mark_leaving(worker.name)
        return worker.name

    def worker_comes(self) -> str | None:
        """Add a VM."""
        live = sum(not worker.gone for worker in self.world.workers.values())
        if live >= MOST_WORKERS:
            return None
        dc = self.rng.choice(list(self.world.stores))
        name = f"{dc}-vm{self.world.next_id()}"
        self.world.add_worker(name, dc)
        return name

    def worker_fails(self) -> str | None:
        """Lose a VM; at times the list says so and a new one comes."""
        worker = self._worker()
        if worker is None:
            return None
        worker.fail(self.world.true_time)
        if self.rng.random() < 0.5:
            return worker.name
        dc = worker.name.partition("-")[0]
        self.world.unlist_worker(worker.name)
        self.world.add_worker(f"{dc}-vm{self.world.next_id()}", dc)
        return worker.name

    def _worker(self) -> FakeWorker | None:
        workers = [w for w in self.world.workers.values() if not w.gone]
        return self.rng.choice(workers) if workers else None

    def vm_list(self) -> str:
        """Let the platform's VM list fail or come back."""
        self.world.list_up = not self.world.list_up
        return str(self.world.list_up)

    def ticket(self) -> str:
        """Accept a ticket and send it to all processes."""
        world = self.world
        number = world.accepted.number + 1
        world.accepted = Ticket(number, f"content {number}")
        world.oracle.ticket(number, world.accepted.content)
        for node in world.nodes.values():
            world.send("store", node.name, world.accepted)
        return str(number)


def _places(nodes: t.Iterable[str]) -> list[str]:
    return sorted({name.partition("#")[0] for name in nodes})
