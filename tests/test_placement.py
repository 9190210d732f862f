import random

import pytest

from poplaryard.codes import Code
from poplaryard.messages import Submit, VmUpdate, WorkKind
from poplaryard.placement import Task, choose
from poplaryard.resources import Resources
from tests.builders import configuration, vm_spec, work
from tests.shard import Shard, batch, batch_config
from tests.test_fleet import SHAPES, fleet_of


def test_task_without_a_policy_is_an_error():
    with pytest.raises(TypeError):
        choose(Task(Resources()), fleet_of(1), random.Random(1))


def test_replicas_are_spread_over_racks():
    """Guards against one rack's failure taking a whole service."""
    config = configuration(vms=10, replicas=4)
    shard = Shard(config)
    starts = shard.started(WorkKind.SERVICE)
    racks = [vm.rack for vm in config.vms("dc1") for s in starts if s.vm == vm.name]
    assert sorted(racks) == ["dc1-r0", "dc1-r0", "dc1-r1", "dc1-r1"]


def test_replica_without_gpu_need_avoids_gpu_vms():
    config = batch_config(vms=1)
    gpu_vm = vm_spec(7, rack="empty", capacity=SHAPES[1])
    shard = Shard(config)
    shard.send(VmUpdate(gpu_vm))
    shard.send(batch("b1", need=Resources(1000, 1024, 0)))
    assert shard.started(WorkKind.BATCH)[0].vm == "dc1-vm000"


@pytest.mark.parametrize(
    ("fields", "sentence"),
    [
        (
            {"need": Resources(17_000, 1, 0)},
            "No VM in shard dc1/0 is large enough for 17 cores and 1 MB.",
        ),
        (
            {"need": Resources(1000, 1, 0), "group": "other"},
            "No VM of group other in shard dc1/0 is large enough for 1 cores and 1 MB.",
        ),
        (
            {"need": Resources(9000, 1, 0), "kind": WorkKind.GANG, "tasks": 3},
            "At most 2 of the 3 tasks of the gang can run at once in shard dc1/0.",
        ),
    ],
)
def test_work_that_can_never_be_placed_is_refused_at_once(fields, sentence):
    shard = Shard(batch_config(vms=2))
    shard.send(Submit(work("b1", **{"kind": WorkKind.BATCH, "target": "", **fields})))
    assert [(a.code, a.detail) for a in shard.answers] == [(Code.UNPLACEABLE, sentence)]


def test_explain_says_why_work_waits():
    shard = Shard(batch_config())
    shard.send(batch("b1"))
    shard.send(batch("b2"))
    assert shard.scheduler.explain("b2") == (
        "No VM in shard dc1/0 has 12 cores and 8192 MB free now."
    )
    assert shard.scheduler.explain("b1") == "All tasks of the request are running."
