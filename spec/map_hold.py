"""Switch of a rank group's map by hold, arm and release, for one contested pass.

A coordinator holds the pass at one rank, arms all ranks, and releases the pass once
all have confirmed; or it gives up at any point, disarms and seals all ranks, and
releases then. To seal a rank is to prepare another map under a higher version, after
which an order to arm the old one is refused. A rank that is armed cannot be sealed.

A successor may find the pass held at any time. It holds the pass at a rank of its own,
disarms and seals all ranks, and releases both holds.

An order that was sent may be carried out at any later time, any number of times, or
never, whatever its sender does meanwhile. That covers lost and late orders, lost
answers, repeats, and coordinators that are killed, paused or woken.

Bounds: one pass, two ranks, one coordinator, one successor. Further ranks are armed,
disarmed and sealed alike.
"""

from minicheck import Protocol

RANKS = (0, 1)
COORDINATOR, SUCCESSOR = "c", "s"

# sent, accepted: orders (sender, action, rank); armed, sealed: ranks; held: holders;
# begun: ranks that began the pass with the new map, None before.
FIELDS = ("sent", "accepted", "armed", "sealed", "held", "begun", "aborted")


def make_model(
    *,
    waits_for_all: bool = True,
    seals: bool = True,
    seal_must_succeed: bool = True,
    successor_holds: bool = True,
    successor_has_own_hold: bool = True,
) -> Protocol:
    """Return the model; a mistake is seeded by setting an argument to False.

    Parameters
    ----------
    waits_for_all : bool
        Whether the pass is released only when all ranks have confirmed.
    seals : bool
        Whether undoing seals ranks after it has disarmed them.
    seal_must_succeed : bool
        Whether a refused seal is tried again.
    successor_holds : bool
        Whether the successor holds the pass before it undoes anything.
    successor_has_own_hold : bool
        Whether its hold is at another rank than the coordinator's.
    """

    def transitions(state):
        sent, accepted, armed, sealed, held, begun, aborted = state
        found = []

        def send(label, *orders):
            more = frozenset(orders) - sent
            if more:
                found.append((label, (sent | more, *state[1:])))

        def has(sender, action):
            return all((sender, action, rank) in accepted for rank in RANKS)

        def undone(sender):
            if not seals:
                return has(sender, "disarm")
            if not seal_must_succeed:
                return all((sender, "seal", rank) in sent for rank in RANKS)
            return has(sender, "seal")

        def undo(sender):
            send(f"{sender} disarms", *((sender, "disarm", r) for r in RANKS))
            for rank in RANKS:
                if seals and (sender, "disarm", rank) in accepted:
                    send(f"{sender} seals {rank}", (sender, "seal", rank))

        hold = (COORDINATOR, "hold", COORDINATOR)
        send("hold", hold)
        if hold in accepted:
            if not aborted:
                arms = [(COORDINATOR, "arm", rank) for rank in RANKS]
                send("arm all", *arms)
                enough = has(COORDINATOR, "arm") or (
                    not waits_for_all and (COORDINATOR, "arm", 0) in accepted
                )
                if enough:
                    send("release", (COORDINATOR, "release", COORDINATOR))
                elif (COORDINATOR, "release", COORDINATOR) not in sent:
                    found.append(("give up", (*state[:6], True)))
            else:
                undo(COORDINATOR)
                if undone(COORDINATOR):
                    send("release", (COORDINATOR, "release", COORDINATOR))
            _successor(send, undo, undone, accepted)
        for order in sorted(sent):
            after = _carry_out(state, order)
            if after is not None and after != state:
                found.append((f"carry out {order}", after))
        if not held and begun is None:
            found.append(("pass begins", (*state[:5], armed, aborted)))
        return found

    def _successor(send, undo, undone, accepted):
        place = SUCCESSOR if successor_has_own_hold else COORDINATOR
        hold = (SUCCESSOR, "hold", place)
        if successor_holds:
            send("successor holds", hold)
        if hold in accepted or not successor_holds:
            undo(SUCCESSOR)
            if undone(SUCCESSOR):
                send(
                    "successor releases",
                    (SUCCESSOR, "release", COORDINATOR),
                    (SUCCESSOR, "release", place),
                )

    def _carry_out(state, order):
        sent, accepted, armed, sealed, held, begun, aborted = state
        _, action, where = order
        if action == "hold":
            if begun is not None:
                return None
            held = held | {where}
        elif action == "release":
            held = held - {where}
        elif action == "arm":
            if begun is not None or where in sealed:
                return None
            armed = armed | {where}
        elif action == "disarm":
            armed = armed - {where}
        elif action == "seal":
            if where in armed:
                return None
            sealed = sealed | {where}
        return (sent, accepted | {order}, armed, sealed, held, begun, aborted)

    empty: frozenset = frozenset()
    return Protocol(
        name="map switch by hold",
        candidate=False,
        fields=FIELDS,
        initial=(empty, empty, empty, empty, empty, None, False),
        transitions=transitions,
        invariants={"one map in a pass": _one_map},
    )


def _one_map(state) -> bool:
    begun = state["begun"]
    return begun is None or len(begun) in (0, len(RANKS))
