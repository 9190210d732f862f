import random
from dataclasses import replace

from poplaryard.configuration import Policy
from poplaryard.messages import (
    AttemptState,
    Configure,
    PollReply,
    StopMode,
    Submit,
    VmUpdate,
    WorkKind,
)
from poplaryard.preemption import Preemptor
from poplaryard.replicas import Replicas
from poplaryard.resources import Resources
from poplaryard.routing import shard_names
from poplaryard.services import apportion
from poplaryard.state import ShardState
from tests.builders import configuration, vm_spec, work
from tests.shard import Shard, batch


def test_apportion_gives_every_replica_to_exactly_one_shard():
    assert apportion(10, {"a": 1, "b": 1, "c": 1}) == {"a": 4, "b": 3, "c": 3}
    assert apportion(0, {"a": 1}) == {"a": 0}
    assert apportion(3, {}) == {}


def test_shards_and_data_centres_run_the_replicas_of_the_ticket_together():
    """Guards against each shard running all replicas of a service."""
    policy = Policy(shards_per_data_centre=3)
    config = configuration(vms=12, replicas=7, policy=policy)
    group = config.vm_groups["booking"]
    other = tuple(vm_spec(n, data_centre="dc2", group="booking") for n in range(4))
    groups = {"booking": replace(group, vms=group.vms + other)}
    config = replace(config, vm_groups=groups)
    total = 0
    for shard in shard_names("dc1", 3) + shard_names("dc2", 3):
        state = ShardState(shard, random.Random(1), config)
        replicas = Replicas(state, Preemptor(state))
        replicas.configure(config)
        replicas.update_wanted()
        total += state.pools["booking"].wanted
    assert total == 7


def scaled(config, replicas, number):
    service = replace(config.services["booking"], replicas=replicas)
    return replace(config, number=number, services={"booking": service})


def drained(shard):
    return [s.attempt_id for s in shard.stops if s.mode is StopMode.DRAIN]


def test_shrinking_drains_a_replica_only_when_it_has_no_request():
    """Guards against requests cut off when a service shrinks."""
    config = configuration()
    shard = Shard(config)
    for number in range(16):
        shard.send(Submit(work(f"r{number}")))
    shard.send(Configure(scaled(config, 1, 2)))
    shard.tick(5.0)
    assert drained(shard) == []
    for start in shard.started(WorkKind.REQUEST):
        shard.end(start)
    shard.tick(0.1)
    assert len(set(drained(shard))) == 1
    shard.send(Submit(work("last")))
    assert shard.started(WorkKind.REQUEST)[-1].executor not in drained(shard)


def test_growing_service_preempts_work_that_can_be_checkpointed():
    """Guards against a demand peak that waits behind batch work on full VMs."""
    config = configuration(vms=1, replicas=1, policy=Policy(short_s=1e9))
    shard = Shard(config)
    shard.send(batch("b1", need=Resources(8000, 1024, 0), checkpointable=True))
    shard.send(Configure(scaled(config, 2, 2)))
    (stop,) = shard.stops
    assert stop.mode is StopMode.CHECKPOINT
    shard.end(shard.starts[stop.attempt_id], state=AttemptState.CHECKPOINTED)
    shard.tick(0.1)
    assert len(shard.started(WorkKind.SERVICE)) == 2


def test_growing_starts_the_missing_replicas():
    config = configuration()
    shard = Shard(config)
    shard.send(Configure(scaled(config, 4, 2)))
    assert len(shard.started(WorkKind.SERVICE)) == 4


def test_replica_on_a_leaving_vm_is_replaced_before_it_drains():
    config = configuration()
    shard = Shard(config)
    old = shard.started(WorkKind.SERVICE)[0]
    shard.start_code = None
    leaving = next(vm for vm in config.vms("dc1") if vm.name == old.vm)
    shard.send(VmUpdate(leaving, True))
    successor = shard.started(WorkKind.SERVICE)[2]
    assert successor.vm != old.vm
    assert drained(shard) == []
    shard.running[successor.attempt_id] = successor
    report = shard.report(successor)
    shard.send(PollReply(successor.vm, 1, (report,)))
    assert drained(shard) == [old.attempt_id]


def test_leaving_vm_gets_no_request_after_two_seconds_without_a_successor():
    """Guards against sending work to a leaving VM because all others are full (P6)."""
    config = configuration(vms=1, replicas=1)
    shard = Shard(config)
    shard.send(VmUpdate(config.vms("dc1")[0], True))
    shard.tick(2.0)
    shard.send(Submit(work("r1")))
    assert shard.started(WorkKind.REQUEST) == []


def test_worker_that_says_it_leaves_gets_no_request_at_once():
    config = configuration(vms=1, replicas=1)
    shard = Shard(config)
    shard.send(PollReply("dc1-vm000", 1, leaving=True))
    shard.send(Submit(work("r1")))
    assert shard.started(WorkKind.REQUEST) == []


def test_changed_size_rolls_one_replica_at_a_time():
    config = configuration()
    shard = Shard(config)
    service = config.services["booking"]
    need = Resources(service.need.cpu_m, 9000, service.need.gpus)
    larger = replace(service, need=need)
    shard.send(Configure(replace(config, number=2, services={"booking": larger})))
    for _ in range(2):
        shard.tick(1.0)
        (old,) = set(drained(shard))
        shard.stops.clear()
        shard.end(shard.starts[old], state=AttemptState.STOPPED)
    shard.tick(2.0)
    needs = [s.work.need.mem_mb for s in shard.running.values()]
    assert needs == [9000, 9000]
