"""Times and bounds of a gateway."""

import msgspec


class GatewayParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of a gateway that its settings file does not give.

    Parameters
    ----------
    watch_ms : float
        Longest time that one watch of the configuration lasts; it outlasts the second
        in which the store may withhold changes.
    watch_share : float
        The same as a part of the time for which a proof holds, so that two watches
        fit into that.
    targets_share : float
        Time between two readings of the list of targets, as a part of the time in
        which a leaving target must get no more calls. Two readings fit into that.
    retry_store_ms, retry_store_most_ms : float
        First and longest wait after a failed call to the store.
    lapsed_grace_ms : float
        Time after the store's return in which lapsed entries may come back.
    store_outage_ms : float
        Time without an answer after which entries may have lapsed.
    proof_margin_ms : float
        Part of the revocation time that is left for a call's way to its target.
    connect_ms : float
        Longest time to open a connection to a target; several round trips between
        data centres and one lost packet.
    keep_alive_ms : float
        Longest time that a connection to a target is kept unused. Targets tell their
        own in whole seconds, so no shorter one than a second exists.
    answer_ms_share : float
        Part of the time left that the first target of a repeatable call gets.
    first_event_ms : float
        Longest wait for a stream's first byte while another target may be tried, at
        targets without a rank group.
    stuck_ms : float
        Silence of a rank, while others of its group have events, after which its
        streams go on at another one. Several passes, and well within the two seconds
        for which callers wait.
    min_remaining_ms : float
        Time that a call needs at least to be worth sending.
    stop_ready_ms : float
        Time from the signal to stop to the closing of the listener, in which the
        balancer asks for readiness three times.
    stop_margin_ms : float
        Time before the kill at which the last calls are given up.
    max_connections : int
        Callers' connections open at a time; half of the descriptors of a small
        instance.
    body_buffer_bytes : int
        Largest answer that is held back until it is whole.
    crash_limit : int
        Crashes of targets after which a request that was in flight at all of them is
        refused.
    """

    watch_ms: float = 1_800.0
    watch_share: float = 0.4
    targets_share: float = 0.4
    retry_store_ms: float = 100.0
    retry_store_most_ms: float = 800.0
    lapsed_grace_ms: float = 2_200.0
    store_outage_ms: float = 1_500.0
    proof_margin_ms: float = 400.0
    connect_ms: float = 400.0
    keep_alive_ms: float = 1_500.0
    answer_ms_share: float = 0.5
    first_event_ms: float = 1_200.0
    stuck_ms: float = 700.0
    min_remaining_ms: float = 15.0
    stop_ready_ms: float = 3_200.0
    stop_margin_ms: float = 600.0
    max_connections: int = 2_000
    body_buffer_bytes: int = 1 << 20
    crash_limit: int = 2

    def watch_within(self, revoke_ms: float) -> float:
        """Return how long a watch may last, in milliseconds.

        Parameters
        ----------
        revoke_ms : float
            Time after which a key that was taken away opens nothing; 0 for no bound.

        Examples
        --------
        >>> GatewayParameters().watch_within(5_000), GatewayParameters().watch_within(0)
        (1800.0, 1800.0)
        >>> GatewayParameters().watch_within(2_000)
        640.0
        """
        if not revoke_ms:
            return self.watch_ms
        proof_ms = revoke_ms - self.proof_margin_ms
        return min(self.watch_ms, self.watch_share * proof_ms)
