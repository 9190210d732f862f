"""Lists of workers that the store may hold after writes without an answer."""

from hypothesis import given
from hypothesis import strategies as st

from poplaryard.workload.model import Suspect
from poplaryard.workload.stored_workers import StoredWorkers, unrestricted

LISTS = [
    {"w0": Suspect(), "w1": Suspect()},
    {"w0": Suspect(), "w1": Suspect(tasks=())},
    {"w0": Suspect(renewed=False), "w1": Suspect()},
    {"w1": Suspect()},
]


class SequencedStore:
    """Store whose writes require, and change, the revision of one key."""

    def __init__(self, workers):
        self.workers = workers
        self.revision = 1
        self.late = []

    def write(self, expected, workers):
        if expected != self.revision:
            return False
        self.revision += 1
        if workers is not None:
            self.workers = workers
        return True

    def deliver(self):
        """Carry out the writes without an answer that are still possible."""
        for expected, workers in self.late:
            self.write(expected, workers)
        self.late = []


writes = st.tuples(
    st.sampled_from(["answered", "refused", "lost", "dropped", "late", "deliver"]),
    st.sampled_from([None, *LISTS]),
)


@given(st.lists(writes, max_size=12), st.sampled_from(LISTS))
def test_starts_are_allowed_only_where_the_stored_list_allows_them(steps, first):
    """Guards against runs that the next owner of a group does not look for."""
    store, stored, revision = SequencedStore(first), StoredWorkers(first), 1

    def check():
        assert stored.unrestricted() <= unrestricted(store.workers)
        assert stored.known is None or stored.known == store.workers

    for outcome, workers in [*steps, ("answered", None), ("answered", LISTS[0])]:
        if outcome == "deliver":
            store.deliver()
            check()
            continue
        if workers is not None:
            stored.write_began(workers)
        if outcome == "answered" and store.write(revision, workers):
            revision = store.revision
            stored.later_write_succeeded()
            if workers is not None:
                stored.written(workers)
        elif outcome == "answered":
            revision = store.revision
            stored.earlier_write_carried_out()
            stored.not_written()
        elif outcome == "refused":
            stored.not_written()
        else:
            if outcome == "lost":
                store.write(revision, workers)
            if outcome == "late":
                store.late.append((revision, workers))
            stored.write_in_doubt()
        check()
    store.deliver()
    check()
    assert stored.known == LISTS[0]
