import json
import random

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from poplaryard import config_io, wire
from poplaryard.head import ConfigState, Delta, Head
from poplaryard.messages import Configure, Tick
from poplaryard.rollout import (
    AskState,
    CentreReport,
    HeadSeen,
    LoadConfig,
    Loaded,
    Members,
    PeerDelta,
    PeerNumber,
    Rollout,
    Send,
    StoreFailed,
    WatchHead,
)

from .fake_store import service


def next_state(state, name, replicas):
    """Return the state after a ticket that sets a service, or removes it at 0."""
    number = state.number + 1
    value = service(name, replicas) if replicas else None
    ref = f"{number}-{replicas}" if replicas else f"{number}-"
    return state.apply_delta(
        Delta(state.number or 0, number, {f"service/{name}": (ref, value)})
    )


def head_of(state):
    return Head(number=state.number, objects=state.refs, removed=state.removed)


class Simulation:
    """Simulated processes of two data centres, a store and a network.

    A message stays in `network` until a test delivers it. `states` has the state after
    each ticket. Messages of the processes in `cut` are lost.
    """

    def __init__(self, sizes=(4, 2)):
        self.now = 0.0
        self.states = [ConfigState()]
        self.store_up = True
        self.network = []
        self.cut = set()
        self.watching = set()
        self.last_numbers = {}
        self.names = {
            f"dc{dc}": [f"dc{dc}-p{n}" for n in range(size)]
            for dc, size in enumerate(sizes, start=1)
        }
        self.live = {name for names in self.names.values() for name in names}
        self.rollouts = {name: self._new(name) for name in sorted(self.live)}
        self.send_members()

    def _new(self, name):
        self.last_numbers[name] = 0
        return Rollout(name, name.split("-")[0])

    def send_members(self):
        for name, rollout in self.rollouts.items():
            local = [p for p in self.names[rollout.data_centre] if p in self.live]
            remote = {dc: tuple(p) for dc, p in self.names.items()}
            if name in self.live:
                self.handle(name, Members(tuple(local), remote))

    def restart(self, name):
        self.watching.discard(name)
        self.live.add(name)
        self.rollouts[name] = self._new(name)
        self.send_members()

    def handle(self, name, msg):
        for out in self.rollouts[name].handle(self.now, msg):
            match out:
                case Send():
                    self.network.append((name, out.to, out.msg))
                case WatchHead():
                    (self.watching.add if out.on else self.watching.discard)(name)
                case LoadConfig():
                    self.network.append(("store", name, None))
                case Configure():
                    assert out.config.number == self.rollouts[name].number

    def accept(self, name, replicas, event=True):
        self.states.append(next_state(self.states[-1], name, replicas))
        for watcher in sorted(self.watching & self.live):
            if event:
                msg = HeadSeen(head_of(self.states[-1]))
                self.network.append(("watch", watcher, msg))

    def deliver(self, index):
        source, to, msg = self.network.pop(index % len(self.network))
        if to not in self.live or {source, to} & self.cut:
            return
        if msg is None:
            answer = Loaded(self.states[-1]) if self.store_up else StoreFailed()
            self.handle(to, answer)
        else:
            self.handle(to, msg)

    def heartbeat(self):
        for name in sorted(self.live):
            for peer in self.names[self.rollouts[name].data_centre]:
                if peer != name:
                    msg = PeerNumber(name, self.rollouts[name].number)
                    self.network.append((name, peer, msg))

    def tick(self, seconds=0.1):
        self.now += seconds
        for name in sorted(self.live):
            self.handle(name, Tick())

    def settle(self, seconds=3.0):
        """Run for some seconds and deliver all messages in order."""
        for step in range(round(seconds * 10)):
            if step % 10 == 0:
                self.heartbeat()
            self.tick()
            for _ in range(len(self.network)):
                self.deliver(0)

    def check(self):
        for name, rollout in self.rollouts.items():
            assert rollout.number >= self.last_numbers[name], (
                f"the number of {name} decreased"
            )
            self.last_numbers[name] = rollout.number
            expected = self.states[rollout.number]
            assert rollout.state.config == expected.config, name
            assert rollout.state.refs == expected.refs, name

    def numbers(self):
        return {name: self.rollouts[name].number for name in sorted(self.live)}


class RolloutMachine(RuleBasedStateMachine):
    """Guards against a number that decreases and a state that was never accepted."""

    @initialize()
    def start(self):
        self.sim = Simulation()

    @rule(name=st.sampled_from("abc"), replicas=st.integers(0, 3), event=st.booleans())
    def accept(self, name, replicas, event):
        self.sim.accept(name, replicas, event)

    @precondition(lambda self: self.sim.network)
    @rule(index=st.integers(0, 1000), copies=st.integers(0, 2))
    def deliver(self, index, copies):
        """Deliver out of order; 0 copies lose the message, 2 duplicate it."""
        network = self.sim.network
        item = network[index % len(network)]
        if copies == 0:
            network.remove(item)
            return
        self.sim.deliver(index)
        if copies == 2:
            network.append(item)

    @rule(up=st.booleans())
    def store(self, up):
        self.sim.store_up = up

    @rule(name=st.sampled_from(["dc1-p0", "dc1-p1", "dc1-p3", "dc2-p0"]))
    def restart(self, name):
        self.sim.restart(name)

    @rule(name=st.sampled_from(["dc1-p0", "dc1-p1"]))
    def die(self, name):
        self.sim.live.discard(name)
        self.sim.watching.discard(name)
        self.sim.send_members()

    @rule(name=st.sampled_from(["dc1-p0", "dc1-p2", "dc2-p1"]))
    def cut_off(self, name):
        self.sim.cut ^= {name}

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.5]))
    def tick(self, seconds):
        self.sim.heartbeat()
        self.sim.tick(seconds)

    @rule()
    def settle(self):
        """All live processes hold the last ticket within 3 s once faults end."""
        sim = self.sim
        sim.store_up, sim.cut = True, set()
        sim.settle(3.0)
        last = sim.states[-1].number
        assert set(sim.numbers().values()) == {last}, (last, sim.numbers())

    @invariant()
    def numbers_never_decrease(self):
        if hasattr(self, "sim"):
            self.sim.check()


RolloutMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
RolloutMachineTest = RolloutMachine.TestCase


class RolloutTest(testtools.TestCase):
    def simulate(self, tickets=3):
        sim = Simulation()
        for number in range(1, tickets + 1):
            sim.accept("a", number)
        sim.settle()
        return sim

    def assertAll(self, sim, number, names=None):
        numbers = sim.numbers()
        for name in names or numbers:
            self.assertEqual(number, numbers[name], name)

    def test_two_lowest_live_members_watch(self):
        """Guards against a data centre without a watcher after a failure."""
        sim = self.simulate()
        self.assertEqual({"dc1-p0", "dc1-p1", "dc2-p0", "dc2-p1"}, sim.watching)
        sim.live.discard("dc1-p0")
        sim.watching.discard("dc1-p0")
        sim.send_members()
        self.assertLessEqual({"dc1-p1", "dc1-p2"}, sim.watching)

    def test_push_brings_a_ticket_without_a_heartbeat(self):
        """Guards against a change that waits for the next heartbeat."""
        sim = self.simulate()
        sim.accept("b", 1)
        for _ in range(20):
            if sim.network:
                sim.deliver(0)
        self.assertAll(sim, 4, sim.names["dc1"])

    def test_change_without_watch_event_is_found_by_polling(self):
        """Guards against a change that is missed because a watch lost its event."""
        sim = self.simulate()
        sim.accept("b", 1, event=False)
        sim.settle()
        self.assertAll(sim, 4)

    def test_late_and_repeated_events_change_nothing(self):
        """Guards against an old head or delta that reverts a process."""
        sim = self.simulate()
        old = sim.states[1]
        for name in sorted(sim.live):
            for msg in (
                HeadSeen(head_of(old)),
                Loaded(old),
                PeerDelta("dc1-p0", old.delta(0)),
            ):
                sim.handle(name, msg)
        self.assertAll(sim, 3)

    def test_starting_process_is_not_ready_before_it_holds_a_configuration(self):
        """Guards against serving with an empty configuration."""
        sim = self.simulate()
        sim.store_up = False
        sim.restart("dc1-p3")
        self.assertFalse(sim.rollouts["dc1-p3"].ready)
        sim.settle()
        self.assertTrue(sim.rollouts["dc1-p3"].ready)
        self.assertAll(sim, 3)

    def test_restarted_data_centre_asks_the_others_in_an_outage(self):
        """Guards against a data centre that cannot start while the store is down."""
        sim = self.simulate()
        sim.store_up = False
        for name in sim.names["dc1"]:
            sim.restart(name)
        sim.settle()
        self.assertAll(sim, 3)

    def test_process_without_store_and_peers_is_not_ready(self):
        """Guards against a process that reports ready without a configuration."""
        sim = Simulation()
        sim.store_up = False
        sim.settle()
        self.assertFalse(any(r.ready for r in sim.rollouts.values()))

    def test_empty_store_makes_ready(self):
        """Guards against a new installation that never takes its first ticket."""
        sim = Simulation()
        sim.settle()
        self.assertTrue(all(r.ready for r in sim.rollouts.values()))

    def test_peer_cut_off_from_its_data_centre_reads_the_store(self):
        """Guards against a cut-off process that keeps an old configuration."""
        sim = self.simulate()
        sim.accept("b", 1)
        isolated = sim.rollouts["dc1-p3"]
        for _ in range(30):
            sim.now += 0.1
            for out in isolated.handle(sim.now, Tick()):
                if out == LoadConfig():
                    isolated.handle(sim.now, Loaded(sim.states[-1]))
        self.assertEqual(4, isolated.number)

    def test_process_whose_peers_send_nothing_readable_reads_the_store(self):
        """Guards against a process that gets heartbeats but never the change."""
        sim = self.simulate()
        rollout = sim.rollouts["dc1-p3"]
        out = []
        for _ in range(20):
            sim.now += 0.1
            rollout.handle(sim.now, PeerNumber("dc1-p0", 4))
            out += rollout.handle(sim.now, Tick())
        self.assertIn(LoadConfig(), out)

    def test_data_centre_without_store_learns_from_another(self):
        """Guards against a data centre that lags while it cannot reach the store."""
        sim = self.simulate()
        sim.states.append(next_state(sim.states[-1], "b", 1))
        sim.store_up = False
        sim.handle("dc2-p0", Loaded(sim.states[-1]))
        sim.settle()
        self.assertAll(sim, 4)

    def test_processes_that_have_not_confirmed_are_listed(self):
        """Guards against a change reported as in force before it is."""
        sim = self.simulate()
        watcher = sim.rollouts["dc1-p0"]
        self.assertEqual([], watcher.behind(3))
        sim.cut = {"dc1-p3"}
        sim.accept("b", 1)
        sim.settle(2.0)
        self.assertEqual(["dc1-p3"], watcher.behind(4))
        _at, report = sim.rollouts["dc2-p1"].reports["dc1"]
        self.assertEqual((4, ("dc1-p3",)), (report.number, report.behind))
        sim.handle("dc1-p0", PeerNumber("dc1-p2", 0))
        self.assertEqual(["dc1-p2", "dc1-p3"], watcher.behind(4))

    def test_deltas_bring_any_holder_to_the_same_state(self):
        """Guards against a delta that lacks a removal or restores a removed object."""
        rng = random.Random(5)
        states = [ConfigState()]
        for _ in range(60):
            states.append(next_state(states[-1], rng.choice("abcd"), rng.randrange(3)))
        for base in range(0, 60, 3):
            for held in range(base, 60, 4):
                for number in range(held + 1, 60, 5):
                    after = states[held].apply_delta(states[number].delta(base))
                    self.assertEqual(states[number], after)
        self.assertIs(None, states[9].apply_delta(states[8].delta(0)))

    def test_gap_is_refused(self):
        """Guards against a state that lacks the changes of a lost delta."""
        sim = self.simulate()
        rollout = Rollout("x", "dc1")
        delta = sim.states[3].delta(2)
        out = rollout.handle(0.0, PeerDelta("dc1-p0", delta))
        self.assertEqual([Send("dc1-p0", AskState("x", 0))], out)
        self.assertEqual(0, rollout.number)

    def test_messages_to_peers_survive_their_encoding(self):
        """Guards against a message that peers cannot decode."""
        sim = self.simulate()
        sim.accept("a", 0)
        delta = sim.states[-1].delta(2)
        report = CentreReport("p0", "dc1", 4, 3, ("p1",), passed_on=True)
        for msg in (AskState("p0", 0), report, PeerDelta("p0", delta)):
            self.assertIsInstance(msg, config_io.PEER_MESSAGES)
            text = json.dumps(wire.encode(msg, 0.0))
            found = wire.decode(json.loads(text), 0.0)
            if isinstance(msg, PeerDelta):
                self.assertEqual(sim.states[-1], sim.states[2].apply_delta(found.delta))
            else:
                self.assertEqual(msg, found)

    def test_unreadable_change_is_counted(self):
        """Guards against a failure caused by an object kind of a newer version."""
        rollout = self.simulate().rollouts["dc1-p3"]
        delta = Delta(3, 4, {"moon/x": ("4-0", {"kind": "moon", "name": "x"})})
        self.assertEqual([], rollout.handle(0.0, PeerDelta("dc1-p0", delta)))
        self.assertEqual((3, 1), (rollout.number, rollout.unreadable))

    def test_too_old_base_gets_the_whole_state(self):
        """Guards against a removal that is dropped before a peer has received it."""
        state = self.simulate().states[3]
        short = ConfigState(state.config, state.refs, {}, horizon=2)
        self.assertEqual(0, short.delta(1).base)
        self.assertEqual(2, short.delta(2).base)
