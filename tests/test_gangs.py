from poplaryard.codes import Code
from poplaryard.messages import (
    AttemptState,
    Cancel,
    Priority,
    Submit,
    VmUpdate,
    WorkKind,
)
from poplaryard.resources import Resources
from tests.builders import work
from tests.shard import Shard, batch, batch_config

HALF = Resources(8000, 1024, 0)


def gang(request_id, tasks, **fields):
    fields.setdefault("need", HALF)
    return Submit(
        work(request_id, kind=WorkKind.GANG, target="", tasks=tasks, **fields)
    )


def gang_starts(shard, request_id):
    return [s for s in shard.starts.values() if s.work.request_id == request_id]


def test_gang_starts_whole_or_not_at_all():
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1", need=HALF))
    shard.send(gang("g1", 4))
    assert gang_starts(shard, "g1") == []
    shard.end(shard.started(WorkKind.BATCH)[0])
    assert len(gang_starts(shard, "g1")) == 4


def test_small_work_does_not_starve_a_gang_of_many_tasks():
    """Guards against a steady stream of small tasks keeping every VM half full."""
    shard = Shard(batch_config(vms=3))
    for number in range(6):
        shard.send(batch(f"b{number}", need=HALF, declared_s=5.0))
    shard.send(gang("g1", 6))
    for number in range(6, 60):
        shard.send(batch(f"b{number}", need=HALF, declared_s=5.0))
        shard.now += 0.5
        running = [s for s in shard.running.values() if s.work.kind is WorkKind.BATCH]
        if running:
            shard.end(running[0])
    assert len(gang_starts(shard, "g1")) == 6


def test_work_that_ends_in_time_is_backfilled_onto_reserved_vms():
    shard = Shard(batch_config())
    shard.send(batch("long", need=HALF, declared_s=60.0))
    shard.send(gang("g1", 2))
    shard.send(batch("late", need=HALF, declared_s=100.0))
    shard.send(batch("short", need=HALF, declared_s=10.0))
    assert [s.work.request_id for s in shard.started(WorkKind.BATCH)] == [
        "long",
        "short",
    ]


def test_reservation_moves_away_from_a_task_that_never_ends():
    """Guards against a misdeclared run time holding up a gang for ever."""
    shard = Shard(batch_config(vms=2))
    shard.send(batch("stuck", need=HALF, declared_s=1.0))
    shard.send(batch("other", need=HALF, declared_s=1.0, group="booking"))
    shard.send(batch("slow", need=Resources(16_000, 1024, 0), declared_s=20.0))
    shard.send(gang("g1", 2))
    shard.end(next(s for s in shard.starts.values() if s.work.request_id == "other"))
    for _ in range(50):
        shard.tick(1.0)
    shard.end(next(s for s in shard.starts.values() if s.work.request_id == "slow"))
    shard.tick(1.0)
    assert len(gang_starts(shard, "g1")) == 2


def test_cancelled_gang_gives_its_reserved_room_back():
    shard = Shard(batch_config())
    shard.send(batch("b1", need=HALF))
    shard.send(gang("g1", 2))
    shard.send(batch("b2", need=HALF, declared_s=100.0))
    assert len(shard.started(WorkKind.BATCH)) == 1
    shard.send(Cancel("g1"))
    assert shard.codes() == [Code.CANCELLED]
    assert len(shard.started(WorkKind.BATCH)) == 2


def test_reservation_survives_the_loss_of_a_vm():
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1", need=HALF, group="booking"))
    shard.send(gang("g1", 4))
    shard.send(VmUpdate(shard.scheduler._state.fleet.vms["dc1-vm001"].spec, True))
    shard.tick(2.0)
    shard.send(VmUpdate(shard.scheduler._state.fleet.vms["dc1-vm001"].spec, False))
    shard.end(shard.started(WorkKind.BATCH)[0])
    shard.tick(2.0)
    assert len(gang_starts(shard, "g1")) == 4


def test_urgent_gang_preempts_on_the_vms_that_it_reserves():
    shard = Shard(batch_config(vms=2))
    for number in range(4):
        shard.send(batch(f"b{number}", need=HALF, checkpointable=True))
    shard.send(gang("g1", 4, priority=Priority.URGENT))
    assert len(shard.stops) == 4
    for stop in list(shard.stops):
        start = shard.starts[stop.attempt_id]
        shard.end(start, state=AttemptState.CHECKPOINTED)
    assert len(gang_starts(shard, "g1")) == 4
