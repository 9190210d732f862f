from poplaryard.services import split


def test_split_gives_every_replica_to_exactly_one_shard():
    assert split(10, {"a": 1, "b": 1, "c": 1}) == {"a": 4, "b": 3, "c": 3}
    assert split(0, {"a": 1}) == {"a": 0}
    assert split(3, {}) == {}
