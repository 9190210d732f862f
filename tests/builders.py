"""Builders of test data."""

from poplaryard.configuration import Configuration, ServiceSpec, VmGroupSpec, VmSpec
from poplaryard.messages import Work, WorkKind
from poplaryard.resources import Resources


def vm_spec(number=0, *, data_centre="dc1", rack="", capacity=None, **fields):
    return VmSpec(
        name=fields.pop("name", f"{data_centre}-vm{number:03d}"),
        data_centre=data_centre,
        rack=rack or f"{data_centre}-r{number // 5}",
        address=fields.pop("address", f"127.0.0.1:{20000 + number}"),
        capacity=capacity or Resources(16_000, 32_768, 0),
        **fields,
    )


def configuration(*, vms=4, replicas=2, number=1, data_centre="dc1", **fields):
    group = VmGroupSpec(
        name="booking",
        vms=tuple(
            vm_spec(index, data_centre=data_centre, group="booking")
            for index in range(vms)
        ),
    )
    service = ServiceSpec(
        name="booking",
        team="booking",
        replicas=replicas,
        need=Resources(8000, 8192, 0),
        group="booking",
    )
    return Configuration(
        number=number,
        services={"booking": service},
        vm_groups={"booking": group},
        **fields,
    )


def work(request_id="r1", **fields):
    fields.setdefault("kind", WorkKind.REQUEST)
    fields.setdefault("target", "booking")
    return Work(request_id=request_id, **fields)
