import testtools

from poplaryard import tickets
from poplaryard.configuration import Configuration
from poplaryard.exceptions import CallError
from poplaryard.ticket_check import check

from .fake_store import service, ticket, vm_group

_TEAM = {"kind": "team", "name": "booking"}


class TicketCheckTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        kind = {"kind": "work_kind", "name": "charge", "target": "booking"}
        item = ticket("uid-0", vm_group(vms=4), service(), _TEAM, kind)
        self.config = tickets.apply(Configuration(), 1, item)

    def check(self, *objects, **fields):
        return check(self.config, ticket("uid-1", *objects, **fields))

    def test_changes_are_listed_and_not_made(self):
        """Guards against a check that hides or makes a change."""
        result = self.check(service(replicas=4), service("new"), vm_group(vms=3))
        self.assertEqual(
            (
                "service/booking: replicas changes from 2 to 4.",
                "service/new is new.",
                "vm_group/booking: VM dc1-vm00003 is removed.",
            ),
            result.changes,
        )
        self.assertEqual(((), ()), (result.errors, result.warnings))
        self.assertEqual(2, self.config.services["booking"].replicas)

    def test_unplaceable_work_is_reported(self):
        """Guards against a service that waits forever without a reason."""
        cases = [
            (service(cpu="17 cores"), "No VM can ever hold service booking"),
            (service(gpus=1), "No VM can ever hold service booking"),
            (service(replicas=9), "Only 8 of 9 replicas"),
            (vm_group(vms=0), "there is no VM"),
            (service(group="nowhere"), "vm_group nowhere, which does not exist"),
        ]
        for item, expected in cases:
            self.assertIn(expected, " ".join(self.check(item).warnings))
        gang = {"kind": "batch", "name": "b", "team": "booking", "tasks": 9}
        gang |= {"cpu": "8 cores", "memory": "1 GB", "gang": True}
        self.assertIn("Only 8 of 9 tasks", self.check(gang).warnings[0])
        (only,) = self.check({**gang, "gang": False}).warnings
        self.assertIn("does not run batches from tickets", only)

    def test_existing_problems_are_not_reported(self):
        """Guards against warnings about objects that the ticket does not touch."""
        broken = ticket("uid-1", service("big", cpu="99 cores"))
        self.config = tickets.apply(self.config, 2, broken)
        self.assertEqual((), self.check(service(replicas=3)).warnings)

    def test_probable_typing_errors_are_reported(self):
        """Guards against a typing error that creates an object or sets a wrong size."""
        cases = [
            (service("bookign"), "did you mean booking, which exists?"),
            (service(replicas=20), "replicas changes from 2 to 20"),
            (service(memory="8 MB"), "memory in MB changes from 8192 to 8"),
            (
                service(team="boking"),
                "names the team boking, which does not exist; did",
            ),
            ({"kind": "service", "name": "bookin", "remove": True}, "did you mean"),
            ({**_TEAM, "remove": True}, "names the team booking, which does not exist"),
            (
                {"kind": "service", "name": "booking", "remove": True},
                "work_kind charge names the service booking",
            ),
            (
                vm_group("far", 1, data_centre="dc2"),
                "some keys move to another data centre",
            ),
            (vm_group(vms=1, leaving=["dc1-vm00000"]), "1 of 1 VMs would be leaving"),
        ]
        for item, expected in cases:
            self.assertIn(expected, " ".join(self.check(item).warnings))
        numbered = self.check(service("pricing-1"), service("pricing-2"))
        self.assertEqual((), numbered.warnings)

    def test_misspelt_fields_and_kinds_are_explained(self):
        """Guards against a refusal that does not name the misspelt field or kind."""
        for item, expected in (
            (service(replcas=3), 'did you mean "replicas"?'),
            ({"kind": "servise", "name": "x"}, 'did you mean "service"?'),
        ):
            exc = self.assertRaises(CallError, ticket, "uid-1", item)
            self.assertIn(expected, exc.detail)

    def test_check_reports_what_filing_would_refuse(self):
        """Guards against a ticket that passes the check and is refused when filed."""
        errors = self.check(vm_group("second", 1)).errors
        self.assertIn('"booking" and in "second"', errors[0])
        self.assertIn("last number is 1", self.check(based_on=7).errors[0])
