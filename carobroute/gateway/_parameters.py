"""Timeouts, intervals and limits of a gateway."""

import msgspec

# A reading of the target list that is this late, in intervals, follows an outage.
MIN_OUTAGE_INTERVALS = 1.25


class GatewayParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts, intervals and limits of a gateway that are not in its settings file.

    Parameters
    ----------
    max_watch_ms : float
        Maximum duration of one watch of the configuration. It exceeds the second for
        which the store may withhold changes. Two watches, and the time in which the
        operator writes again after a restored store, fit into the validity of a proof.
    watch_ratio : float
        Maximum duration of a watch as a part of the validity of a proof, so that two
        watches fit into it.
    target_poll_ratio : float
        Interval between two readings of the list of targets, as a part of the time
        within which calls to a leaving target must stop. Two readings fit into it.
    store_retry_min_ms, store_retry_max_ms : float
        First and longest delay after a failed call to the store.
    lapsed_grace_ms : float
        Grace period after a store outage, in which lapsed entries may be renewed.
    store_outage_heartbeats : float
        Time without an answer of the store after which entries may have lapsed, in
        heartbeats of the targets. The last renewal may be one heartbeat older than
        the outage.
    proof_margin_ms : float
        Part of the revocation time that is reserved for a call's way to its target.
    connect_timeout_ms : float
        Timeout of a connection attempt to a target; several round trips between data
        centres and one lost packet.
    keep_alive_ms : float
        Time after which an idle connection to a target is closed. Targets announce
        their own keep-alive time in whole seconds, so it is at least one second.
    attempt_time_ratio : float
        Part of the remaining time that one attempt of a call gets while the call may
        still be sent to another target.
    first_event_timeout_ms : float
        Timeout of a stream's first byte while another target may be tried, at
        targets without a rank group.
    stuck_after_ms : float
        Silence of a rank, while other ranks of its group have events, after which its
        streams are resumed at another rank. Several passes, and well within the two
        seconds for which callers wait.
    min_remaining_ms : float
        Minimum time before the deadline at which a call is still sent.
    listener_close_delay_ms, listener_close_ratio : float
        Delay from the stop signal to the closing of the listener, and its largest part
        of the time until the process is killed. The balancer asks each second, and
        sends nothing after two misses. It is below the 3 s after which the platform
        excuses no call that is cut.
    stop_margin_ms, stop_margin_ratio : float
        Time before the process is killed at which the last calls are ended, and its
        largest part of the time from the stop signal. It is below a sixth, so that a
        call that is ended has had all of the grace that callers may count on.
    stop_close_ms : float
        Longest time that a stopping gateway takes to leave its peers and the store,
        which may be away; several calls to a store that is slow.
    stop_retry_ms : float
        Retry delay of callers that a stopping gateway refuses. The balancer sends
        their retries to other gateways.
    max_connections : int
        Maximum number of open connections from callers; half of the file descriptors
        of a small instance.
    body_buffer_bytes : int
        Maximum size of an answer, or of an event of a stream, that is buffered until
        it is complete. A longer one is broken off.
    crash_limit : int
        Number of target crashes with the same request in flight after which that
        request is refused.
    max_pause_ms : float
        Longest time for which a target gets no calls because it has asked for that.
    """

    max_watch_ms: float = 1_150.0
    watch_ratio: float = 0.4
    target_poll_ratio: float = 0.4
    store_retry_min_ms: float = 100.0
    store_retry_max_ms: float = 800.0
    lapsed_grace_ms: float = 2_200.0
    store_outage_heartbeats: float = 2.0
    proof_margin_ms: float = 400.0
    connect_timeout_ms: float = 400.0
    keep_alive_ms: float = 1_500.0
    attempt_time_ratio: float = 0.5
    first_event_timeout_ms: float = 1_200.0
    stuck_after_ms: float = 700.0
    min_remaining_ms: float = 15.0
    listener_close_delay_ms: float = 2_900.0
    listener_close_ratio: float = 0.4
    stop_margin_ms: float = 600.0
    stop_margin_ratio: float = 0.125
    stop_close_ms: float = 1_000.0
    stop_retry_ms: float = 50.0
    max_connections: int = 2_000
    body_buffer_bytes: int = 1 << 20
    crash_limit: int = 2
    max_pause_ms: float = 3_600_000.0

    def listener_close_after_ms(self, stop_ms: float) -> float:
        """Return the delay from the stop signal to the closing of the listener.

        Parameters
        ----------
        stop_ms : float
            Time from the stop signal until the process is killed, in milliseconds.

        Examples
        --------
        >>> parameters = GatewayParameters()
        >>> [parameters.listener_close_after_ms(ms) for ms in (2_000, 8_000, 30_000)]
        [800.0, 2900.0, 2900.0]
        """
        return min(self.listener_close_delay_ms, self.listener_close_ratio * stop_ms)

    def stop_margin_for(self, stop_ms: float) -> float:
        """Return the time from the end of the last calls to the kill.

        Parameters
        ----------
        stop_ms : float
            Time from the stop signal until the process is killed, in milliseconds.

        Examples
        --------
        >>> parameters = GatewayParameters()
        >>> [parameters.stop_margin_for(ms) for ms in (2_000, 8_000, 30_000)]
        [250.0, 600.0, 600.0]
        """
        return min(self.stop_margin_ms, self.stop_margin_ratio * stop_ms)

    def target_poll_interval_ms(self, drain_ms: float) -> float:
        """Return the interval between two readings of the list of targets.

        Parameters
        ----------
        drain_ms : float
            Time within which calls to a leaving target must stop, in milliseconds.
        """
        return self.target_poll_ratio * drain_ms

    def store_outage_ms(self, drain_ms: float, heartbeat_ms: float) -> float:
        """Return the time between two readings after which entries may have lapsed.

        Parameters
        ----------
        drain_ms : float
            Time within which calls to a leaving target must stop, in milliseconds.
        heartbeat_ms : float
            Interval at which targets renew their entries, in milliseconds.

        Examples
        --------
        >>> parameters = GatewayParameters()
        >>> parameters.store_outage_ms(2_000, 1_200), (
        ...     parameters.store_outage_ms(8_000, 1_200))
        (2400.0, 4000.0)
        """
        return max(
            self.store_outage_heartbeats * heartbeat_ms,
            MIN_OUTAGE_INTERVALS * self.target_poll_interval_ms(drain_ms),
        )

    def watch_timeout_ms(self, revoke_ms: float) -> float:
        """Return the maximum duration of a watch, in milliseconds.

        Parameters
        ----------
        revoke_ms : float
            Time after which a revoked key must not be accepted; 0 for no limit.

        Examples
        --------
        >>> parameters = GatewayParameters()
        >>> parameters.watch_timeout_ms(5_000), parameters.watch_timeout_ms(0)
        (1150.0, 1150.0)
        >>> parameters.watch_timeout_ms(2_000)
        640.0
        """
        if not revoke_ms:
            return self.max_watch_ms
        proof_ms = revoke_ms - self.proof_margin_ms
        return min(self.max_watch_ms, self.watch_ratio * proof_ms)
