"""Exceptions of the package; each carries a numbered result code."""

from .codes import Code

__all__ = [
    "CallError",
    "ConfigError",
    "LeaseLost",
    "PoplaryardError",
    "StoreConflict",
    "StoreDown",
    "StoreReplyLost",
    "WorkerUnreachable",
]


class PoplaryardError(Exception):
    """Error with a numbered result code.

    Parameters
    ----------
    code : Code
        Result code.
    detail : str
        Message for the user; the meaning of the code if empty.
    """

    def __init__(self, code: Code, detail: str = ""):
        super().__init__(detail or code.meaning)
        self.code = code
        self.detail = detail or code.meaning


class ConfigError(PoplaryardError):
    """Invalid settings file."""


class CallError(PoplaryardError):
    """Request that cannot be served."""


class StoreDown(PoplaryardError):
    """The store did not accept the call; nothing was written."""

    def __init__(self, detail: str = "The store cannot be reached."):
        super().__init__(Code.TICKET_NOT_ACCEPTED, detail)


class StoreReplyLost(PoplaryardError):
    """The call was sent and no reply came; it may have taken effect."""

    def __init__(self, detail: str = "The store's reply was lost."):
        super().__init__(Code.TICKET_UNKNOWN, detail)


class StoreConflict(PoplaryardError):
    """A compare-and-swap failed because the value has another version."""

    def __init__(self, detail: str = "The value has changed."):
        super().__init__(Code.TICKET_CONFLICT, detail)


class LeaseLost(PoplaryardError):
    """The store lease that a write is attached to has ended; nothing was written."""

    def __init__(self, detail: str = "The lease has ended."):
        super().__init__(Code.TICKET_NOT_ACCEPTED, detail)


class WorkerUnreachable(PoplaryardError):
    """A worker did not answer, or another instance of it did.

    Parameters
    ----------
    refused : bool
        Whether the connection was refused.
    other_instance : bool
        Whether another instance of the worker, or another worker, answered.
    fenced : bool
        Whether the worker has seen a higher fencing token, that of a later owner.
    """

    def __init__(
        self,
        detail: str,
        *,
        refused: bool = False,
        other_instance: bool = False,
        fenced: bool = False,
    ):
        super().__init__(Code.PEER_UNREACHABLE, detail)
        self.refused = refused
        self.other_instance = other_instance
        self.fenced = fenced
