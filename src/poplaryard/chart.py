"""State charts in JSON files, interpreted through `transitions`."""

import functools
import importlib.resources
import json
import typing as t

from transitions import Machine

__all__ = ["attach", "load"]


@functools.cache
def load(name: str) -> Machine:
    """Return the machine of ``charts/<name>.json``; it is shared by all its models."""
    path = importlib.resources.files(__package__) / "charts" / f"{name}.json"
    chart = json.loads(path.read_text())
    return Machine(
        model=None,
        states=chart["states"],
        transitions=chart["transitions"],
        initial=chart["initial"],
        auto_transitions=False,
    )


def attach(name: str, model: t.Any) -> None:
    """Give `model` the attribute `state` and the method `trigger(event)`.

    The machine keeps no reference to the model, so that a dropped model is freed.
    """
    machine = load(name)
    machine.add_model(model)
    machine.remove_model(model)
