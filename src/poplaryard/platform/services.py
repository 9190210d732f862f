"""Clients of the workers and of the advice service."""

import json
import typing as t

import msgspec

from ..client import HttpClient, RawReply
from ..codes import Code
from ..exceptions import PoplaryardError, WorkerUnreachable
from ..logs import logger
from ..workload.model import HoldReport, StartOutcome, StartReply, WorkerInfo
from .codec import DecodeFailed, decode_hold_report

__all__ = ["AdviceClient", "WorkerClient"]

_REJECTIONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.BAD_TICKET,
}
_OUTCOMES = {
    200: StartOutcome.STARTED,
    400: StartOutcome.INVALID,
    421: StartOutcome.WRONG_INSTANCE,
    429: StartOutcome.UNHEALTHY,
    503: StartOutcome.UNHEALTHY,
}


class _StartAnswer(msgspec.Struct):
    """Answer of a worker to an order to start a run; `reason` is of a rejection."""

    reason: str = ""
    clock_ms: float | None = None


class _Advice(msgspec.Struct):
    """Answer of the advice service: pairs of a worker's id and its ticket."""

    good: list[tuple[str, str]]
    valid_ms: float = 0.0


class WorkerClient:
    """Calls workers over HTTP; see `poplaryard.workload.owner.WorkerCalls`.

    Parameters
    ----------
    client : HttpClient
    timeout_s : float
        Timeout of a call in seconds, and for a report the longest time between two
        parts of it. A start that times out may have taken effect.
    """

    def __init__(self, client: HttpClient, timeout_s: float):
        self._client = client
        self._timeout_s = timeout_s

    async def start(
        self,
        worker: WorkerInfo,
        task: str,
        run: int,
        payload: str,
        deadline_s: float,
        fence: int,
        checkpoint: str = "",
        ticket: str = "",
    ) -> StartReply:
        """Order a worker to start a run.

        Parameters
        ----------
        deadline_s : float
            Latest arrival of the order on the worker's clock, in seconds.
        """
        body: dict[str, t.Any] = {
            "task": task,
            "run": run,
            "spec": payload,
            "deadline_ms": int(deadline_s * 1000),
            "fencing_token": fence,
        }
        if checkpoint:
            body["checkpointed"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        try:
            reply = await self._post(worker, "run-start", body, self._timeout_s)
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                return StartReply(StartOutcome.NOT_SENT)
            return StartReply(StartOutcome.IN_DOUBT)
        answer = _decode_start_answer(reply.content)
        if reply.status == 409:
            outcome = _REJECTIONS.get(answer.reason, StartOutcome.INVALID)
        else:
            outcome = _OUTCOMES.get(reply.status, StartOutcome.IN_DOUBT)
        clock_ms = answer.clock_ms
        return StartReply(outcome, None if clock_ms is None else clock_ms / 1000)

    async def stop(self, worker: WorkerInfo, task: str, run: int, fence: int) -> bool:
        """Order a worker to stop a run; return whether the worker confirmed it.

        An order that is not confirmed may take effect later.
        """
        body = {"task": task, "run": run, "fencing_token": fence}
        try:
            reply = await self._post(worker, "run-stop", body, self._timeout_s)
        except PoplaryardError:
            return False
        return reply.status == 200

    async def pace(
        self, worker: WorkerInfo, task: str, run: int, percent: int, fence: int
    ) -> bool:
        """Throttle a run to a percentage of its rate; return whether it took effect."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": fence}
        try:
            reply = await self._post(worker, "pace", body, self._timeout_s)
        except PoplaryardError:
            return False
        return reply.status == 200

    async def hold(
        self,
        worker: WorkerInfo,
        fence: int,
        acknowledged: int,
        deadline_s: float | None,
        wait_s: float,
    ) -> HoldReport:
        """Renew the leases of all runs of a worker and return its report.

        Raises
        ------
        WorkerUnreachable
            If the worker gave no valid answer, or if another instance of it or another
            worker answered at its address.
        """
        body: dict[str, t.Any] = {"fencing_token": fence, "ack_seq": acknowledged}
        if deadline_s is not None:
            body["deadline_ms"] = int(deadline_s * 1000)
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        try:
            # A new owner asks all workers at once, and their reports share its link.
            reply = await self._post(
                worker, "hold", body, wait_s + self._timeout_s, self._timeout_s
            )
        except PoplaryardError as exc:
            refused = exc.code is Code.PEER_UNREACHABLE
            raise WorkerUnreachable(exc.detail, refused=refused) from exc
        if reply.status != 200:
            raise WorkerUnreachable(
                f"status {reply.status}",
                other_instance=reply.status == 421,
                fenced=reply.status == 409,
            )
        try:
            return decode_hold_report(reply.content)
        except DecodeFailed as exc:
            raise WorkerUnreachable(str(exc)) from exc

    async def _post(
        self,
        worker: WorkerInfo,
        call: str,
        body: t.Any,
        timeout_s: float,
        stall_timeout_s: float | None = None,
    ) -> RawReply:
        return await self._client.request_raw(
            "POST",
            f"http://{worker.address}/poplaryard/{call}",
            json.dumps(body, separators=(",", ":")).encode(),
            timeout_s,
            {"X-Expect-Instance": worker.worker_id},
            stall_timeout_s,
        )


class AdviceClient:
    """Client of the service that tells which workers may run the tasks of a step."""

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._url = f"http://{address}/poplaryard/advise"

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their validity in seconds; None if refused.

        `slow` is part of the `Advisor` interface and not used here.
        """
        body = json.dumps({"step": step, "workers": workers}).encode()
        reply = await self._client.request("POST", self._url, body, timeout_s)
        if reply.status != 200:
            return None
        try:
            advice = msgspec.convert(reply.body, _Advice)
        except msgspec.ValidationError as exc:
            extra = {"step": step, "reason": str(exc)}
            logger.warning("malformed advice", extra=extra)
            return None
        return dict(advice.good), advice.valid_ms / 1000


def _decode_start_answer(content: bytes) -> _StartAnswer:
    """Decode the answer to a start; a malformed one tells nothing."""
    try:
        return msgspec.json.decode(content, type=_StartAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        if content:
            logger.warning("malformed answer to a start", extra={"reason": str(exc)})
        return _StartAnswer()
