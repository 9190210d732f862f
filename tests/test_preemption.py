from poplaryard.messages import AttemptState, Priority, StopMode, WorkKind
from poplaryard.resources import Resources
from tests.shard import BIG, Shard, batch, batch_config

HALF = Resources(8000, 1024, 0)


def urgent(request_id="u1", **fields):
    return batch(request_id, priority=Priority.URGENT, **fields)


def test_checkpointable_work_is_preempted_and_runs_again():
    shard = Shard(batch_config())
    shard.send(batch("b1", checkpointable=True))
    shard.send(urgent())
    (stop,) = shard.stops
    assert stop.mode is StopMode.CHECKPOINT
    shard.end(shard.starts[stop.attempt_id], state=AttemptState.CHECKPOINTED)
    assert shard.started(WorkKind.BATCH)[1].work.request_id == "u1"
    shard.end(shard.started(WorkKind.BATCH)[1])
    assert shard.started(WorkKind.BATCH)[2].work.request_id == "b1"


def test_checkpoint_that_takes_too_long_becomes_a_stop():
    """Guards against a hung checkpoint delaying urgent work beyond 2.3 s."""
    shard = Shard(batch_config())
    shard.send(batch("b1", checkpointable=True))
    shard.send(urgent())
    shard.tick(1.2)
    assert [stop.mode for stop in shard.stops] == [StopMode.CHECKPOINT, StopMode.STOP]


def test_work_that_may_not_run_twice_is_never_preempted():
    for fields in ({"idempotent": False}, {"exclusive_key": "k"}):
        shard = Shard(batch_config())
        shard.send(batch("b1", **fields))
        shard.send(urgent())
        assert shard.stops == []


def test_urgent_work_with_room_still_waits_for_its_exclusive_key():
    """Guards against held room being used while the key is taken elsewhere."""
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1", checkpointable=True))
    shard.send(batch("b2", checkpointable=True))
    shard.send(urgent(exclusive_key="k"))
    shard.send(batch("small", exclusive_key="k", need=Resources(1000, 1, 0)))
    shard.end(shard.starts[shard.stops[0].attempt_id], state=AttemptState.CHECKPOINTED)
    running = {s.work.request_id for s in shard.running.values()}
    assert "small" in running
    assert "u1" not in running


def test_share_of_a_waiting_team_is_reclaimed_from_one_above_its_own():
    shard = Shard(batch_config(vms=2))
    for number in range(4):
        shard.send(batch(f"a{number}", need=HALF, team="a", checkpointable=True))
    shard.send(batch("b", need=HALF, team="b"))
    shard.tick(0.5)
    assert shard.stops == []
    shard.tick(0.6)
    (stop,) = shard.stops
    shard.end(shard.starts[stop.attempt_id], state=AttemptState.CHECKPOINTED)
    assert "b" in {s.work.request_id for s in shard.running.values()}


def test_least_work_is_lost():
    shard = Shard(batch_config(vms=2))
    shard.send(batch("old"))
    shard.now = 100.0
    shard.send(batch("young"))
    shard.send(urgent())
    (stop,) = shard.stops
    assert shard.starts[stop.attempt_id].work.request_id == "young"


def test_work_behind_urgent_work_does_not_take_the_room_made_for_it():
    shard = Shard(batch_config())
    shard.send(batch("b1", checkpointable=True))
    shard.send(urgent())
    shard.send(batch("b2", need=Resources(4000, 1024, 0)))
    shard.send(batch("b3", need=Resources(4000, 1024, 0)))
    shard.end(shard.starts[shard.stops[0].attempt_id], state=AttemptState.CHECKPOINTED)
    assert "u1" in {s.work.request_id for s in shard.running.values()}
    used = shard.scheduler.snapshot().used
    assert used.cpu_m <= 16_000
    assert BIG.cpu_m <= used.cpu_m
