"""Names, formats and calls of the platform; nothing here decides anything."""

from .codec import DecodeFailed
from .front import Front, PlatformFront
from .services import AdviceClient, WorkerClient
from .store import PlatformStore

__all__ = [
    "AdviceClient",
    "DecodeFailed",
    "Front",
    "PlatformFront",
    "PlatformStore",
    "WorkerClient",
]
