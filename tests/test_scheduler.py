import random

from poplaryard.codes import Code
from poplaryard.messages import (
    Answer,
    AttemptState,
    Authority,
    Cancel,
    ClaimReply,
    Configure,
    StartAttempt,
    Submit,
    Tick,
    VmUpdate,
    WorkerUnreachable,
    WorkKind,
)
from poplaryard.resources import Resources
from poplaryard.scheduler import ShardScheduler
from poplaryard.takeover import Takeover
from tests.builders import configuration, work
from tests.shard import BIG, Shard, batch, batch_config


def test_replicas_named_by_the_ticket_are_started():
    assert len(Shard().started(WorkKind.SERVICE)) == 2


def test_request_goes_to_replicas_and_is_answered_once_all_tasks_have_ended():
    shard = Shard()
    shard.send(Submit(work("r1", tasks=2)))
    first, second = shard.started(WorkKind.REQUEST)
    shard.end(second, "b")
    assert not shard.answers
    shard.end(first, "a")
    assert [(a.code, a.parts) for a in shard.answers] == [(Code.OK, ("a", "b"))]


def test_slots_of_a_replica_are_respected():
    shard = Shard()
    for number in range(20):
        shard.send(Submit(work(f"r{number}")))
    assert len(shard.started(WorkKind.REQUEST)) == 16
    assert shard.scheduler.snapshot().queued == 4


def test_charge_is_released_once_when_a_report_is_repeated():
    """Guards against a duplicated report that releases a charge twice."""
    shard = Shard(batch_config())
    shard.send(batch("b1"))
    (start,) = shard.started(WorkKind.BATCH)
    shard.end(start)
    shard.end(start)
    for number in range(2, 5):
        shard.send(batch(f"b{number}"))
    assert len(shard.started(WorkKind.BATCH)) == 2
    assert shard.scheduler.snapshot().used == BIG


def test_unreachable_worker_counts_as_full_until_the_lease_wait_ends():
    """Guards against a task being run again while its lease may still hold."""
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1"))
    (first,) = shard.started(WorkKind.BATCH)
    shard.claimable = False
    shard.send(WorkerUnreachable(first.vm))
    shard.tick(4.3)
    assert len(shard.started(WorkKind.BATCH)) == 1
    shard.tick(0.2)
    assert [s.vm for s in shard.started(WorkKind.BATCH)[1:]] != [first.vm]
    assert len(shard.started(WorkKind.BATCH)) == 2


def test_lost_non_idempotent_work_is_never_run_again():
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1", idempotent=False))
    shard.claimable = False
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(5.0)
    assert shard.codes() == [Code.UNKNOWN_OUTCOME]
    assert len(shard.started(WorkKind.BATCH)) == 1


def test_start_without_reply_is_not_repeated_while_it_is_valid():
    """Guards against a delayed start running next to its repetition."""
    shard = Shard(batch_config())
    shard.start_code = None
    shard.send(batch("b1"))
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(1.0)
    assert len(shard.starts) == 1
    shard.tick(1.5)
    shard.tick(0.1)
    assert len(shard.starts) == 2
    assert not shard.answers


def test_start_without_reply_that_the_worker_does_not_know_may_have_run():
    """Guards against a second run when the worker was restarted after the first."""
    shard = Shard(batch_config())
    shard.start_code = None
    shard.send(batch("b1", idempotent=False))
    shard.running.clear()
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(2.5)
    shard.tick(0.1)
    assert shard.codes() == [Code.UNKNOWN_OUTCOME]
    assert len(shard.starts) == 1


def test_refused_start_is_tried_again():
    shard = Shard(batch_config())
    shard.start_code = Code.WORKER_FULL
    shard.send(batch("b1"))
    shard.start_code = Code.OK
    shard.tick(0.1)
    assert len(shard.starts) == 2
    assert len(shard.running) == 1


def test_nothing_is_started_after_the_authority_has_lapsed():
    shard = Shard(batch_config(), until=1.0)
    shard.now = 1.0
    shard.send(batch("b1"))
    assert not shard.starts


def test_outdated_claim_reply_charges_nothing():
    """Guards against an ended attempt being adopted from an outdated reply."""
    shard = Shard(batch_config())
    shard.send(batch("b1"))
    (start,) = shard.started(WorkKind.BATCH)
    shard.claimable = False
    shard.send(WorkerUnreachable(start.vm))
    shard.now = 0.2
    shard.end(start)
    outdated = ClaimReply(start.vm, 1, True, (shard.report(start),), 100)
    shard.send(outdated)
    assert shard.scheduler.snapshot().used == Resources()


def test_cancelled_work_is_answered_not_run_only_if_it_never_started():
    shard = Shard(batch_config())
    shard.send(batch("b1"))
    shard.send(batch("b2"))
    shard.send(Cancel("b2"))
    shard.send(Cancel("b1"))
    assert shard.codes() == [Code.CANCELLED]
    shard.end(shard.starts[shard.stops[0].attempt_id], state=AttemptState.STOPPED)
    assert shard.codes() == [Code.CANCELLED, Code.STOPPED]


def test_work_on_one_exclusive_key_never_runs_twice_at_once():
    """Guards against a retry or a second request that runs next to the first."""
    shard = Shard(batch_config(vms=4))
    for number in range(3):
        shard.send(batch(f"b{number}", exclusive_key="pass-1", idempotent=False))
    shard.send(batch("other", exclusive_key="pass-2"))
    ids = [s.work.request_id for s in shard.running.values()]
    assert sorted(ids) == ["b0", "other"]
    for _ in range(3):
        (held,) = [s for s in shard.running.values() if s.work.request_id != "other"]
        shard.end(held)
    assert shard.codes() == [Code.OK] * 3


def test_key_of_a_lost_attempt_stays_taken_until_its_lease_has_ended():
    shard = Shard(batch_config(vms=2))
    shard.send(batch("b1", exclusive_key="k", idempotent=False))
    shard.send(batch("b2", exclusive_key="k", idempotent=False))
    shard.claimable = False
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(10.3)
    assert len(shard.started(WorkKind.BATCH)) == 1
    shard.tick(0.2)
    assert len(shard.started(WorkKind.BATCH)) == 2


def test_exclusive_work_is_answered_not_run_while_ownership_is_uncertain():
    shard = Shard(batch_config())
    shard.send(Authority("dc1/0", 1, 1000.0, exclusive=False))
    shard.send(batch("b1", exclusive_key="k"))
    shard.send(batch("b2", need=Resources(1000, 1024, 0)))
    assert len(shard.started(WorkKind.BATCH)) == 1
    shard.tick(1.0)
    assert shard.codes() == [Code.EXCLUSIVE_PAUSED]


def test_expired_work_is_answered_timed_out_while_an_old_worker_is_unclaimed():
    """Guards against "expired, not run" for work that an unclaimed worker has run."""
    shard = Shard(batch_config())
    shard.claimable = False
    shard.send(Authority("dc1/0", 2, 1000.0))
    shard.send(batch("b1", deadline=1.0))
    shard.tick(1.5)
    assert shard.codes() == [Code.TIMED_OUT]


def test_take_over_can_hold_back_the_claim_of_a_new_vm():
    """Guards against a claim on a VM that a successor's older VM list lacks."""
    config = configuration(vms=2)
    first, second = config.vms("dc1")
    scheduler = ShardScheduler("dc1/0", "p1", random.Random(1))
    takeover = Takeover("dc1/0", 2, 0.0, 0.0, [first.name], known=True)
    scheduler.take_over(0.0, takeover)
    scheduler.handle(0.0, VmUpdate(first))
    scheduler.handle(0.0, Authority("dc1/0", 2, 100.0))
    takeover.claims_new = False
    assert scheduler.handle(0.1, VmUpdate(second)) == []
    takeover.claims_new = True
    claimed = {c.vm for c in scheduler.handle(2.0, Tick())}
    assert claimed == {first.name, second.name}


def test_tasks_that_an_old_owner_may_have_run_are_not_started():
    """Guards against a second run once the old owner's leases have ended (P5)."""
    config = batch_config(vms=2)
    first, second = config.vms("dc1")
    scheduler = ShardScheduler("dc1/0", "p1", random.Random(1))
    names = [first.name, second.name]
    scheduler.take_over(100.0, Takeover("dc1/0", 2, 100.0, 100.0, names, known=True))
    for msg in (Configure(config), VmUpdate(first), VmUpdate(second)):
        scheduler.handle(100.0, msg)
    scheduler.handle(100.0, Authority("dc1/0", 2, 900.0))
    old = work("b1", kind=WorkKind.BATCH, idempotent=False, issued_at=99.0)
    scheduler.handle(100.1, Submit(old, wall=100.1))
    scheduler.handle(100.2, ClaimReply(first.name, 2, True))
    out = scheduler.handle(120.0, Tick())
    assert [m.code for m in out if isinstance(m, Answer)] == [Code.UNKNOWN_OUTCOME]
    assert not [m for m in out if isinstance(m, StartAttempt)]


def test_vms_that_follow_the_authority_are_claimed_before_exclusive_work_starts():
    """Guards against all replicas on the first VM, and exclusive work too early.

    A scheduler that counts only the VMs announced before its authority takes the first
    claim reply for the last one.
    """
    config = configuration(vms=2)
    first, second = config.vms("dc1")
    scheduler = ShardScheduler("dc1/0", "p1", random.Random(1))
    scheduler.handle(0.0, Authority("dc1/0", 1, 900.0))
    for msg in (Configure(config), VmUpdate(first), VmUpdate(second)):
        scheduler.handle(0.0, msg)
    keyed = work("b1", kind=WorkKind.BATCH, target="", exclusive_key="k")
    assert scheduler.handle(0.1, Submit(keyed)) == []
    assert scheduler.handle(0.1, ClaimReply(first.name, 1, True)) == []
    out = scheduler.handle(0.2, ClaimReply(second.name, 1, True))
    starts = [m for m in out if isinstance(m, StartAttempt)]
    replicas = [s.vm for s in starts if s.work.kind is WorkKind.SERVICE]
    assert sorted(replicas) == [first.name, second.name]
    assert "b1" in {s.work.request_id for s in starts}


def test_waiting_work_is_refused_as_not_owner_when_the_authority_lapses():
    shard = Shard(batch_config(), until=10.0)
    shard.send(batch("b1"))
    shard.send(batch("b2"))
    shard.tick(11.0)
    assert shard.codes() == [Code.NOT_OWNER]


def test_many_cancellations_release_charges_once_and_spread_their_stops():
    """Guards against 10,000 stops in one call, which would delay all placement."""
    small = Resources(1, 1, 0)
    shard = Shard(batch_config(vms=2))
    for number in range(10):
        shard.send(batch(f"b{number}", need=small, tasks=1000))
    most = max(len(shard.send(Cancel(f"b{number}"))) for number in range(10))
    while len(shard.stops) < 10_000:
        most = max(most, len(shard.tick(0.001)))
    assert most <= 64
    for stop in list(shard.stops):
        start = shard.starts[stop.attempt_id]
        shard.end(start, state=AttemptState.STOPPED)
        shard.end(start, state=AttemptState.STOPPED)
    assert shard.scheduler.snapshot().used == Resources()
    assert shard.codes() == [Code.STOPPED] * 10
