from poplaryard.messages import AttemptState, WorkKind
from poplaryard.resources import Resources
from tests.shard import Shard, batch, batch_config

SMALL = Resources(1000, 1024, 0)


def fail_all_on(shard, bad):
    """End every running task; those on the VM `bad` fail, the others succeed."""
    for start in list(shard.running.values()):
        failed = start.vm == bad
        state = AttemptState.FAILED if failed else AttemptState.SUCCEEDED
        shard.end(start, state=state)
    shard.tick(0.01)


def test_vm_that_fails_everything_gets_no_more_work():
    """Guards against tasks being retried on a VM that fails all it starts."""
    shard = Shard(batch_config(vms=2))
    shard.send(batch("first", need=SMALL))
    bad = shard.started(WorkKind.BATCH)[0].vm
    for number in range(24):
        shard.send(batch(f"b{number}", need=SMALL))
        fail_all_on(shard, bad)
    before = len(shard.starts)
    for number in range(5):
        shard.send(batch(f"late{number}", need=SMALL))
    late = list(shard.starts.values())[before:]
    assert late
    assert bad not in {start.vm for start in late}


def test_ejected_vm_returns():
    """Guards against an ejected VM that never gets work again."""
    shard = Shard(batch_config(vms=2))
    shard.send(batch("first", need=SMALL))
    bad = shard.started(WorkKind.BATCH)[0].vm
    for number in range(24):
        shard.send(batch(f"b{number}", need=SMALL))
        fail_all_on(shard, bad)
    assert shard.scheduler.snapshot().usable == 1
    for number in range(1000):
        shard.tick(0.1)
        for start in list(shard.running.values()):
            shard.end(start)
        # One of the two lands on each VM, so that the ejected VM gets probes.
        shard.send(batch(f"t{number}"))
        shard.send(batch(f"u{number}"))
    assert shard.scheduler.snapshot().usable == 2
