import testtools

from poplaryard.ejection import Ejector


class EjectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ejector = Ejector()
        for number in range(4):
            self.ejector.add(f"vm{number}", "class")

    def fail(self, vm, now=0.0, count=10):
        for _ in range(count):
            self.ejector.record(now, vm, False, 0.01)

    def test_failing_vm_is_ejected_and_returns_by_steps(self):
        """Guards against work sent to a failing VM, and its return at full weight."""
        self.fail("vm0")
        self.assertEqual(0.0, self.ejector.weight(1.0, "vm0"))
        probe = self.ejector.weight(6.0, "vm0")
        self.assertTrue(0.0 < probe < 0.2)
        for _ in range(3):
            self.ejector.record(6.0, "vm0", True, 0.01)
        self.assertTrue(probe <= self.ejector.weight(7.0, "vm0") < 1.0)
        self.assertEqual(1.0, self.ejector.weight(60.0, "vm0"))

    def test_at_most_half_of_a_class_is_ejected(self):
        """Guards against ejecting every VM when the fault is in the work itself."""
        for number in range(4):
            self.fail(f"vm{number}")
        out = [self.ejector.weight(1.0, f"vm{n}") == 0.0 for n in range(4)]
        self.assertEqual(2, sum(out))

    def test_removed_vm_no_longer_counts_as_ejected(self):
        """Guards against removed VMs that still count as ejected."""
        self.fail("vm0")
        self.fail("vm1")
        self.ejector.forget("vm0")
        self.ejector.add("vm4", "class")
        self.fail("vm2")
        self.assertEqual(0.0, self.ejector.weight(1.0, "vm2"))

    def test_late_result_does_not_move_an_open_breaker(self):
        """Guards against a VM that returns early by results of work started before."""
        self.fail("vm0")
        for _ in range(10):
            self.ejector.record(1.0, "vm0", True, 0.01)
        self.assertEqual(0.0, self.ejector.weight(4.9, "vm0"))
        self.assertTrue(0.0 < self.ejector.weight(5.0, "vm0") < 0.2)

    def test_slow_vm_is_ejected_but_not_one_with_a_few_long_jobs(self):
        """Guards against using a VM that runs everything five times slower."""
        for number in range(200):
            for vm in range(3):
                self.ejector.record(0.0, f"vm{vm}", True, 1.0)
            self.ejector.record(0.0, "vm3", True, 5.0 if number > 100 else 1.0)
            if number == 50:
                self.ejector.record(0.0, "vm2", True, 100.0)
        weights = [self.ejector.weight(1.0, f"vm{number}") for number in range(4)]
        self.assertEqual([1.0, 1.0, 1.0, 0.0], weights)

    def test_failures_of_the_whole_class_eject_nothing(self):
        """Guards against capacity lost when the fault is in the work."""
        for number in range(40):
            self.ejector.record(0.0, f"vm{number % 4}", number % 8 < 4, 1.0)
        weights = [self.ejector.weight(1.0, f"vm{number}") for number in range(4)]
        self.assertEqual([1.0] * 4, weights)

    def test_vm_with_long_work_only_is_not_slow(self):
        """Guards against ejecting a VM because its jobs are long."""
        for _ in range(50):
            for vm in range(3):
                self.ejector.record(0.0, f"vm{vm}", True, 1.0, expected_s=1.0)
            self.ejector.record(0.0, "vm3", True, 60.0, expected_s=50.0)
        self.assertEqual(1.0, self.ejector.weight(1.0, "vm3"))
