"""State charts defined in JSON files, read with the `transitions` package."""

import functools
import json
import typing as t
from importlib import resources

from transitions import Machine

__all__ = ["Chart", "load_chart"]


class Chart:
    """Transition table of a state chart; the caller stores the current state.

    One chart serves any number of objects. A `transitions.Machine` for each VM would
    take several KB each.

    Parameters
    ----------
    definition : mapping
        `initial`, `states` and `transitions` as `transitions.Machine` takes them.
    """

    def __init__(self, definition: t.Mapping[str, t.Any]):
        self.initial: str = definition["initial"]
        self._next: dict[tuple[str, str], str] = {}
        machine = Machine(
            model=None,
            states=list(definition["states"]),
            transitions=[dict(item) for item in definition["transitions"]],
            initial=self.initial,
            auto_transitions=False,
        )
        for trigger, event in machine.events.items():
            for source, found in event.transitions.items():
                self._next[source, trigger] = str(found[0].dest)

    def step(self, state: str, trigger: str) -> str:
        """Return the next state, or `state` if the trigger has no transition there."""
        return self._next.get((state, trigger), state)


@functools.cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.json``."""
    path = resources.files("poplaryard") / "charts" / f"{name}.json"
    return Chart(json.loads(path.read_text(encoding="utf-8")))
