import pathlib

import testtools

from poplaryard import metrics
from poplaryard.rollout import CentreReport, Members, PeerNumber, Rollout
from poplaryard.status import ALARMS, AlarmTracker, Health, build_health, render_status
from poplaryard.tickets import apply

from .builders import configuration
from .fake_store import service, ticket

_FAULTY = Health(
    number=7,
    store_number=5,
    behind=("p3",),
    behind_s=4.0,
    centres={"dc2": (6, 1.0), "dc3": (7, 60.0)},
    unreadable=1,
    audit_lost=3,
    audit_waiting=9,
    audit_failures=2,
    suspected=("p3",),
    ownerless=("dc1/2",),
    unreachable_vms=tuple(f"vm{number}" for number in range(7)),
    ejected_vms=("vm9",),
    leaving_vms=("vm1", "vm2"),
    vms=3,
    shed=10,
    services={"booking": (4, 2)},
    never_fits=("No VM can ever hold service big.",),
)


def alarm_names(health):
    return {alarm.name for alarm in AlarmTracker().alarms(0.0, health)}


class StatusTest(testtools.TestCase):
    def test_each_alarm_is_raised_and_documented(self):
        """Guards against an alarm or metric that is missing from the manual."""
        raised = (
            alarm_names(_FAULTY)
            | alarm_names(Health(ready=False))
            | alarm_names(Health(store_ok=False))
        )
        self.assertEqual(set(ALARMS), raised)
        page = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
        text = page.read_text()
        for name in [*ALARMS, *metrics._COLLECTED]:
            self.assertIn(f"`{name}`", text)

    def test_healthy_process_shows_no_alarm(self):
        """Guards against false alarms, which teach operators to ignore alarms."""
        self.assertEqual(
            set(), alarm_names(Health(number=7, store_number=7, behind_s=99.0))
        )
        fresh = Health(number=7, store_number=7, behind=("p2",), behind_s=1.0)
        self.assertEqual(set(), alarm_names(fresh))
        self.assertIn("as it should be", render_status(0.0, Health(), []))

    def test_since_is_kept_until_the_alarm_ends(self):
        """Guards against an alarm whose start time is reset by each evaluation."""
        tracker, store_down = AlarmTracker(), Health(store_ok=False)
        tracker.alarms(100.0, store_down)
        self.assertEqual(100.0, tracker.alarms(700.0, store_down)[0].since)
        tracker.alarms(800.0, Health())
        self.assertEqual(900.0, tracker.alarms(900.0, store_down)[0].since)

    def test_text_shows_fault_reaction_and_action(self):
        """Guards against a status text that lacks what is wrong or what to do."""
        alarms = AlarmTracker().alarms(0.0, _FAULTY)
        text = render_status(600.0, _FAULTY, alarms)
        for part in (
            "ticket 7 is in force",
            "store-behind, for 10 minutes",
            "vm4 and 2 more cannot be reached",
            "The system: The VM counts as full",
            "You: Check the VM or its rack",
            "booking (2 of 4)",
        ):
            self.assertIn(part, text)

    def test_health_includes_the_rollout_state(self):
        """Guards against a process that is behind but reported as up to date."""
        rollout = Rollout("p0", "dc1")
        rollout.handle(0.0, Members(("p0", "p1"), {"dc2": ("q0",)}))
        rollout.handle(0.0, PeerNumber("p1", 0))
        rollout.handle(0.0, CentreReport("q0", "dc2", 4, 3, ("q1",)))
        health = build_health(rollout, 9.0, vms=5)
        self.assertEqual({"dc2": (3, 9.0)}, health.centres)
        self.assertEqual((False, 5), (health.ready, health.vms))

    def test_never_fits_follows_the_configuration(self):
        """Guards against a stale warning about an object that has been corrected."""
        tracker, config = AlarmTracker(), configuration()
        big = apply(config, 2, ticket("uid-1", service("big", cpu="99 cores")))
        self.assertEqual(1, len(tracker.never_fits(big)))
        self.assertEqual((), tracker.never_fits(config))
