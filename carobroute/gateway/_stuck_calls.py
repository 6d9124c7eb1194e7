"""Detection of calls that a rank of a group has lost."""

from returns.result import Success

from carobroute.domain import EngineProfile
from carobroute.experts import PassTimeEstimator
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import Target
from carobroute.platform import RankClient, RankReport

# A second reading follows one without an answer, since a kept connection may be dead.
REPORT_ATTEMPTS = 2
# A call counts as lost once it has waited for this multiple of its expected wait in the
# rank's queue.
MAX_QUEUE_WAIT_RATIO = 2.0


class StuckCallDetector:
    """Decides whether a call without a first event waits its turn or is lost.

    While a group makes passes, a rank that is silent towards this gateway may serve
    calls of others. So the rank itself is asked what runs and what is queued there.

    Parameters
    ----------
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Client of the ranks' interface.
    stuck_after_ms : float
        Silence of a rank after which it is asked.
    """

    __slots__ = ("_client", "_pool", "_stuck_after_ms")

    def __init__(self, *, pool: TargetPool, client: RankClient, stuck_after_ms: float):
        self._pool = pool
        self._client = client
        self._stuck_after_ms = stuck_after_ms

    async def is_stuck(
        self,
        target: Target,
        engine: EngineProfile | None,
        pass_time_estimator: PassTimeEstimator,
        waited_ms: float,
    ) -> bool:
        """Return whether a call has no chance of a first event at its rank.

        Parameters
        ----------
        target : Target
            Rank to which the call was sent.
        engine : EngineProfile or None
            Published capacity of the service's engines.
        pass_time_estimator : PassTimeEstimator
            Passes of the rank's group.
        waited_ms : float
            Time since the call was sent, or since the rank's last event for any call
            of this gateway.
        """
        if waited_ms < self._stuck_after_ms:
            return False
        if pass_time_estimator.silent_ms >= self._stuck_after_ms / 2:
            # The whole group has stopped: another rank would not answer sooner.
            return False
        report = await self._read_report(target)
        if report is None:
            return True
        slots = max(1, target.entry.slots)
        if not report.queued and report.running < slots:
            return True
        if engine is None:
            return False
        passes = engine.usual_output_tokens / engine.steps_per_pass
        stream_ms = passes * pass_time_estimator.pass_ms
        queue_ms = (report.queued + 1) / slots * stream_ms
        return waited_ms > self._stuck_after_ms + MAX_QUEUE_WAIT_RATIO * queue_ms

    async def _read_report(self, target: Target) -> RankReport | None:
        transport = await self._pool.own_transport(target)
        for _ in range(REPORT_ATTEMPTS):
            answered = await self._client.read_report(transport)
            if isinstance(answered, Success):
                return answered.unwrap()
        return None
