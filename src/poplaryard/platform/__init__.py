"""Adapters to the platform: formats, store, workers, advice service and HTTP API."""

from .codec import DecodeFailed
from .front import PlatformFrontend, Response
from .services import AdviceClient, WorkerClient
from .store import PlatformStore

__all__ = [
    "AdviceClient",
    "DecodeFailed",
    "PlatformFrontend",
    "PlatformStore",
    "Response",
    "WorkerClient",
]
