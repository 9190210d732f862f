import testtools
from click.testing import CliRunner
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from poplaryard import fuzz
from poplaryard.fuzz import ACTIONS, Failure, Fuzzer, run


class WorldMachine(RuleBasedStateMachine):
    """Guards against a defect that a short sequence of faults reveals.

    Hypothesis picks the faults, so that a failure shrinks to a short sequence.
    """

    @initialize(
        seed=st.integers(0, 2**16), scheduler=st.sampled_from(["small", "real"])
    )
    def create_world(self, seed, scheduler):
        self.fuzzer = Fuzzer(seed, scheduler=scheduler)
        self.take_random_steps(300)

    @rule(name=st.sampled_from(sorted(ACTIONS)))
    def take_action(self, name):
        ACTIONS[name][0](self.fuzzer)

    @rule(steps=st.integers(1, 200))
    def take_random_steps(self, steps):
        for _ in range(steps):
            self.fuzzer.step()


WorldMachineTest = WorldMachine.TestCase
WorldMachineTest.settings = settings(
    max_examples=40,
    stateful_step_count=20,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class FuzzTest(testtools.TestCase):
    def test_same_seed_gives_the_same_trace(self):
        """Guards against a failure that its seed does not reproduce."""
        self.assertEqual(_trace(5), _trace(5))

    def test_promises_hold_over_fixed_number_of_steps(self):
        """Guards against a change that breaks a promise under random faults."""
        for scheduler in ("small", "real"):
            self.assertGreater(run(1, 20_000, scheduler=scheduler)["starts"], 100)

    def test_disabled_mechanisms_are_detected(self):
        """Guards against a fuzzer that does not detect a missing safety mechanism."""
        for name in ("charge", "attempt_id", "duplicate"):
            self.assertRaises(Failure, run, 1, 20_000, frozenset({name}))

    def test_command_prints_seed_and_broken_promise(self):
        """Guards against output from which a failure cannot be reproduced."""
        args = ["--steps", "20000", "--without", "charge"]
        result = CliRunner().invoke(fuzz.main, args)
        self.assertEqual(1, result.exit_code)
        self.assertIn("seed 1, episode", result.output)
        self.assertIn("P1: ", result.output)


def _trace(seed):
    fuzzer = Fuzzer(seed)
    for _ in range(1000):
        fuzzer.step()
    return fuzzer.world.trace_lines()
