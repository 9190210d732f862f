from poplaryard.messages import AttemptState, WorkKind
from poplaryard.resources import Resources
from tests.shard import Shard, batch, plain

SMALL = Resources(1000, 1024, 0)


def test_vm_that_fails_everything_gets_no_more_work():
    """Guards against tasks being retried on a VM that fails all it starts."""
    shard = Shard(plain(vms=2))
    shard.send(batch("first", need=SMALL))
    bad = shard.started(WorkKind.BATCH)[0].vm
    for number in range(12):
        shard.send(batch(f"b{number}", need=SMALL))
        for start in [s for s in shard.running.values() if s.vm == bad]:
            shard.end(start, state=AttemptState.FAILED)
        shard.tick(0.01)
    before = len(shard.starts)
    for number in range(5):
        shard.send(batch(f"late{number}", need=SMALL))
    late = list(shard.starts.values())[before:]
    assert late
    assert bad not in {start.vm for start in late}


def test_ejected_vm_returns():
    shard = Shard(plain(vms=2))
    shard.send(batch("first", need=SMALL))
    bad = shard.started(WorkKind.BATCH)[0].vm
    for number in range(12):
        shard.send(batch(f"b{number}", need=SMALL))
        for start in [s for s in shard.running.values() if s.vm == bad]:
            shard.end(start, state=AttemptState.FAILED)
    assert shard.scheduler.snapshot().usable == 1
    for _ in range(400):
        shard.tick(0.1)
        for start in list(shard.running.values()):
            shard.end(start)
        shard.send(batch(f"t{shard.now:.1f}", need=SMALL))
    assert shard.scheduler.snapshot().usable == 2
