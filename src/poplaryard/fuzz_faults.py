"""Faults that the fuzzer injects."""

import random
import typing as t

from .fuzz_node import Node, Ticket
from .fuzz_worker import FakeWorker
from .fuzz_world import World
from .ownership_messages import Leave

__all__ = ["Faults"]

# Largest number of live workers that `add_worker` reaches.
MOST_WORKERS = 6


class Faults:
    """Faults of one world; each returns a text for the trace, or None if impossible.

    Attributes
    ----------
    world : World
    rng : random.Random
    """

    world: World
    rng: random.Random

    def __init__(self) -> None:
        # Scheduled changes to the world, each with its true time.
        self._scheduled: list[tuple[float, t.Callable[[], t.Any]]] = []

    def apply_due_changes(self) -> None:
        """Apply the scheduled changes that are due."""
        now = self.world.true_time
        due = [change for at, change in self._scheduled if at <= now]
        self._scheduled = [item for item in self._scheduled if item[0] > now]
        for change in due:
            change()

    def _schedule(self, low: float, high: float, change: t.Callable[[], t.Any]) -> None:
        """Schedule a change after a random delay of `low` to `high` seconds."""
        at = self.world.true_time + self.rng.uniform(low, high)
        self._scheduled.append((at, change))

    def _random_node(self) -> Node | None:
        """Return a random live process, preferably one that owns a shard."""
        nodes = [n for n in self.world.nodes.values() if n.alive and not n.left]
        if self.rng.random() < 0.5:
            nodes = [n for n in nodes if n.ownership.owned] or nodes
        return self.rng.choice(nodes) if nodes else None

    def toggle_pause(self) -> str | None:
        """Pause a process, or resume a paused one."""
        node = self._random_node()
        if node is None:
            return None
        node.paused = not node.paused
        return f"{node.name} {node.paused}"

    def kill(self) -> str | None:
        """Kill a process; usually start its next incarnation."""
        node = self._random_node()
        if node is None:
            return None
        node.alive = False
        node.paused = False
        return f"{node.name} {self._restart(node.name, node.dc)}"

    def _restart(self, name: str, dc: str) -> str:
        if self.rng.random() < 0.2 and len(self.world.nodes) > 1:
            return ""
        base, _, number = name.partition("#")
        restarted = f"{base}#{int(number) + 1}"
        self.world.add_node(restarted, dc)
        return restarted

    def stop_process(self) -> str | None:
        """Stop a process gracefully and start another."""
        node = self._random_node()
        if node is None or node.paused:
            return None
        node.handle_ownership(Leave())
        base, _, number = node.name.partition("#")
        # The other process has a new name: it is not another incarnation.
        self.world.add_node(f"{base}x#{number}", node.dc)
        return node.name

    def toggle_store(self) -> str:
        """Take a store down, or bring it back."""
        dc = self.rng.choice(list(self.world.stores))
        store = self.world.stores[dc]
        store.down = not store.down and self.rng.random() < 0.7
        return f"{dc} {store.down}"

    def cut(self) -> str | None:
        """Cut the network between two endpoints: workers, processes or stores."""
        world = self.world
        endpoints = [*world.workers, *_endpoints(world.nodes)]
        endpoints += [f"store/{dc}" for dc in world.stores]
        pair = frozenset(self.rng.sample(endpoints, 2))
        world.cuts.add(pair)
        return f"{sorted(pair)}"

    def isolate(self) -> str | None:
        """Cut a process off from its store and, sometimes, from all processes."""
        node = self._random_node()
        if node is None:
            return None
        name = node.name.partition("#")[0]
        from_processes = self.rng.random() < 0.3
        others = [f"store/{node.dc}"]
        if from_processes:
            others += [n.partition("#")[0] for n in self.world.nodes]
        self.world.cuts |= {frozenset((name, other)) for other in others}
        return f"{name} {others}"

    def force_takeover(self) -> str | None:
        """Cut an owner off, so that a peer takes over that cannot reach all workers."""
        rng, world = self.rng, self.world
        node = self._random_node()
        if node is None:
            return None
        if rng.random() < 0.7:
            world.cuts.clear()
        name, peers = self._name_and_peers(node)
        unreachable = self._random_workers(2)
        pairs = [(name, f"store/{node.dc}")] if rng.random() < 0.8 else []
        pairs += [(peer, worker) for peer in peers for worker in unreachable]
        if rng.random() < 0.3:
            pairs += self._add_isolated_node(node, name, unreachable)
        self._cut(pairs)
        self._cut_from_peers(name, peers)
        return str(pairs)

    def _cut_from_peers(self, name: str, peers: list[str]) -> None:
        """Cut an owner off from its peers: now, later, twice, or not at all."""
        pairs = [(name, peer) for peer in peers]
        choice = self.rng.random()
        if choice < 0.4:
            self._cut(pairs)
        elif choice < 0.6:
            self._schedule(4.0, 12.0, lambda: self._cut(pairs))
        elif choice < 0.85:
            self._cut(pairs)
            self._schedule(5.0, 9.0, lambda: self._uncut(pairs))
            self._schedule(6.0, 12.0, lambda: self._cut(pairs))

    def isolate_from_workers(self) -> str | None:
        """Cut an owner off from its store, processes and workers; then add a worker.

        The owner reaches the new worker, but must not claim it without a store lease.
        """
        node = self._random_node()
        if node is None:
            return None
        name, peers = self._name_and_peers(node)
        workers = self._random_workers(MOST_WORKERS)
        pairs = [(name, f"store/{node.dc}"), *((name, peer) for peer in peers)]
        pairs += self._add_isolated_node(node, name, [])
        self._cut(pairs)
        self._schedule(5.0, 9.0, lambda: self._cut([(name, vm) for vm in workers]))
        self._schedule(6.0, 16.0, self.add_worker)
        return str(pairs)

    def _name_and_peers(self, node: Node) -> tuple[str, list[str]]:
        name = node.name.partition("#")[0]
        return name, [n for n in _endpoints(self.world.nodes) if n != name]

    def _random_workers(self, limit: int) -> list[str]:
        workers = [w.name for w in self.world.workers.values() if not w.gone]
        return self.rng.sample(workers, min(len(workers), self.rng.randint(0, limit)))

    def _add_isolated_node(
        self, node: Node, name: str, workers: list[str]
    ) -> list[tuple[str, str]]:
        """Start a process; return the cuts between it and `name` and `workers`."""
        joiner = f"{node.dc}-j{self.world.next_id()}"
        self.world.add_node(f"{joiner}#1", node.dc)
        return [(joiner, name), *((joiner, worker) for worker in workers)]

    def _cut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        self.world.cuts |= {frozenset(pair) for pair in pairs}

    def _uncut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        self.world.cuts -= {frozenset(pair) for pair in pairs}

    def toggle_slow_store(self) -> str:
        """Make the stores slow or fast; a slow one answers late and out of order."""
        self.world.slow_store = not self.world.slow_store
        return str(self.world.slow_store)

    def remove_cut(self) -> str | None:
        """Remove one cut."""
        cuts = self.world.cuts
        if not cuts:
            return None
        pair = self.rng.choice(sorted(cuts, key=sorted))
        cuts.discard(pair)
        return str(sorted(pair))

    def remove_all_cuts(self) -> str:
        """Remove all cuts."""
        self.world.cuts.clear()
        return ""

    def mark_worker_leaving(self) -> str | None:
        """Mark a VM as leaving, either at its worker or in the platform's list."""
        worker = self._live_worker()
        if worker is None:
            return None
        if self.rng.random() < 0.5:
            worker.leaving = True
        else:
            self.world.mark_leaving(worker.name)
        return worker.name

    def add_worker(self) -> str | None:
        """Add a worker to a data centre."""
        live = sum(not worker.gone for worker in self.world.workers.values())
        if live >= MOST_WORKERS:
            return None
        dc = self.rng.choice(list(self.world.stores))
        name = f"{dc}-vm{self.world.next_id()}"
        self.world.add_worker(name, dc)
        return name

    def fail_worker(self) -> str | None:
        """Fail a VM; half of the time, replace it in the platform's list."""
        worker = self._live_worker()
        if worker is None:
            return None
        worker.fail(self.world.true_time)
        if self.rng.random() < 0.5:
            return worker.name
        dc = worker.name.partition("-")[0]
        self.world.unlist_worker(worker.name)
        self.world.add_worker(f"{dc}-vm{self.world.next_id()}", dc)
        return worker.name

    def _live_worker(self) -> FakeWorker | None:
        workers = [w for w in self.world.workers.values() if not w.gone]
        return self.rng.choice(workers) if workers else None

    def toggle_vm_list(self) -> str:
        """Make the platform's VM list unavailable, or available again."""
        self.world.list_up = not self.world.list_up
        return str(self.world.list_up)

    def accept_ticket(self) -> str:
        """Accept a ticket and send it to all processes."""
        world = self.world
        number = world.accepted.number + 1
        world.accepted = Ticket(number, f"content {number}")
        world.oracle.ticket_accepted(number, world.accepted.content)
        for node in world.nodes.values():
            world.send("store", node.name, world.accepted)
        return str(number)


def _endpoints(nodes: t.Iterable[str]) -> list[str]:
    """Return the names of processes without the number of their incarnation."""
    return sorted({name.partition("#")[0] for name in nodes})
