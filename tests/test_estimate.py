from poplaryard.estimate import CLASSES, Estimator
from poplaryard.messages import WorkKind
from poplaryard.resources import Resources
from tests.builders import work

LARGE = Resources(16_000, 32_768, 8)


def job(**fields):
    fields.setdefault("need", Resources(1000, 1024, 0))
    return work("b1", kind=WorkKind.BATCH, target="", **fields)


def test_charge_follows_use_but_never_falls_below_the_declared_size():
    estimator = Estimator()
    assert estimator.charge(job(), LARGE) == job().need
    estimator.record_usage(job(), Resources(500, 4096, 0))
    assert estimator.charge(job(), LARGE) == Resources(1000, 4096, 0)
    for _ in range(500):
        estimator.record_usage(job(), Resources(1, 1, 0))
    assert estimator.charge(job(), LARGE) == job().need


def test_learned_size_never_makes_work_unplaceable():
    estimator = Estimator()
    estimator.record_usage(job(), Resources(99_000, 99_000, 0))
    assert estimator.charge(job(), LARGE) == Resources(16_000, 32_768, 0)


def test_large_work_of_the_same_name_does_not_raise_the_charge_of_small_work():
    estimator = Estimator()
    large = job(need=Resources(8000, 8192, 0))
    estimator.record_usage(large, Resources(9000, 9000, 0))
    assert estimator.charge(job(), LARGE) == job().need


def test_run_time_is_learned_after_a_few_samples_and_forgets_old_ones():
    estimator = Estimator()
    assert estimator.run_time_s(job(declared_s=7.0)) == 7.0
    for _ in range(20):
        estimator.record_run_time(job(), 100.0)
    assert 100.0 <= estimator.run_time_s(job()) <= 150.0
    for _ in range(2000):
        estimator.record_run_time(job(), 1.0)
    assert 1.0 <= estimator.run_time_s(job(), 0.9) <= 1.5


def test_memory_is_bounded():
    estimator = Estimator()
    for number in range(CLASSES + 100):
        estimator.record_run_time(job(job_class=str(number)), 1.0)
    assert len(estimator) == CLASSES
