"""Take-over of a lease by a second process while the first is paused at any point.

Time passes in ticks; a process that does not step while time passes is paused. The
holder counts its lease from before its write was sent; the taker waits the duration
out from when it first saw the row unchanged. An order goes to the target in three
steps: the holder checks its lease, sends, and the order arrives, with any pause in
between.

The target is an engine that honours fencing numbers, or one that ignores them behind a
local process, the only one that talks to it, which holds the highest number in memory
and reads it from the table when it is started anew. Both refuse an order below the
highest number they know.

Bounds: two processes, `MAX_TICKS` ticks, a lease of `DURATION` ticks, one replacement
of the local process, `MAX_ORDERS` orders and `MAX_RENEWALS` renewal for each process.
"""

from minicheck import Protocol

PROCESSES = (0, 1)
DURATION = 3
MAX_TICKS = 7
MAX_ORDERS = 1
MAX_RENEWALS = 1
MAX_FENCE = 2

# Phases of a process.
WATCH, WRITING, WRITTEN, HELD, GUARDED = range(5)

# row: (holder, fence, version); processes: (phase, started, valid_until, fence,
# version seen, tick since, orders left, renewals left); orders: fences under way.
FIELDS = ("tick", "row", "processes", "orders", "target", "replacements", "effects")


def make_model(
    *,
    honours_fencing: bool = True,
    holder_counts_from_send: bool = True,
    taker_waits: bool = True,
    target_checks: bool = True,
    recovers_fence: bool = True,
    taker_sees_renewals: bool = True,
) -> Protocol:
    """Return the model; a mistake is seeded by setting an argument to False.

    Parameters
    ----------
    honours_fencing : bool
        Whether the engine keeps the highest fence itself, across replacements of the
        local process. Not a mistake if False.
    holder_counts_from_send : bool
        Whether a lease runs from before its write was sent, or from its answer.
    taker_waits : bool
        Whether the taker waits the lease out.
    target_checks : bool
        Whether the engine, or else the local process, refuses a lower fence.
    recovers_fence : bool
        Whether a new local process reads the fence from the table.
    taker_sees_renewals : bool
        Whether the taker waits anew when the row has changed.
    """

    def transitions(state):
        tick, row, processes, orders, target, replacements, effects = state
        found = []
        if tick < MAX_TICKS:
            found.append(("tick", (tick + 1, *state[1:])))
        for who in PROCESSES:
            found += _steps(state, who)
        for fence in sorted(set(orders)):
            found.append((f"arrive {fence}", _arrive(state, fence)))
        if replacements and not honours_fencing:
            known = row[1] if recovers_fence else 0
            found.append(
                (
                    "local process replaced",
                    (tick, row, processes, orders, known, replacements - 1, effects),
                )
            )
        return found

    def _steps(state, who):
        tick, row, processes, orders, *rest = state
        phase, started, until, fence, seen, since, left, renewals = processes[who]

        def become(label, *process, row=row, orders=orders):
            process = (*process, renewals) if len(process) == 7 else process
            moved = (*processes[:who], process, *processes[who + 1 :])
            return (f"{label} {who}", (tick, row, moved, orders, *rest))

        if phase == WATCH:
            free = row[0] in (-1, who)
            stale_watch = seen != row[2] and (taker_sees_renewals or seen < 0)
            if not free and stale_watch:
                return [become("see row", WATCH, 0, 0, 0, row[2], tick, left)]
            waited = tick - since > DURATION or not taker_waits
            if not (free or waited) or row[1] >= MAX_FENCE:
                return []
            write = (WRITING, tick, 0, row[1] + 1, row[2], 0, left)
            return [become("send take-over", *write)]
        if phase == WRITING:
            if row[2] != seen:
                return [become("write refused", WATCH, 0, 0, 0, -1, 0, left)]
            written = (WRITTEN, started, until, fence, seen + 1, 0, left)
            return [become("write", *written, row=(who, fence, row[2] + 1))]
        if phase == WRITTEN:
            from_tick = started if holder_counts_from_send else tick
            held = (HELD, 0, max(until, from_tick + DURATION), fence, seen, 0, left)
            return [become("answer", *held)]
        if phase == GUARDED:
            held = (HELD, 0, until, fence, seen, 0, left)
            return [become("send order", *held, orders=tuple(sorted((*orders, fence))))]
        if tick >= until:
            return [become("lapse", WATCH, 0, 0, 0, -1, 0, left)]
        steps = []
        if left:
            guarded = (GUARDED, 0, until, fence, seen, 0, left - 1)
            steps.append(become("check lease", *guarded))
        if renewals:
            renewal = (WRITING, tick, until, fence, seen, 0, left, renewals - 1)
            steps.append(become("send renewal", *renewal))
        return steps

    def _arrive(state, fence):
        tick, row, processes, orders, target, replacements, effects = state
        rest = list(orders)
        rest.remove(fence)
        if fence < target and target_checks:
            return (tick, row, processes, tuple(rest), *state[4:])
        # Only the last two effects matter for their order.
        done = (*effects, fence)[-2:]
        highest = max(target, fence)
        return (tick, row, processes, tuple(rest), highest, replacements, done)

    start = (WATCH, 0, 0, 0, -1, 0, MAX_ORDERS, MAX_RENEWALS)
    return Protocol(
        name="lease take-over",
        candidate=False,
        fields=FIELDS,
        initial=(0, (-1, 0, 0), (start, start), (), 0, 1, ()),
        transitions=transitions,
        invariants={
            "one holder": _one_holder,
            "no effect after a newer holder's": _effects_in_order,
            "fences are unique": _fences_are_unique,
        },
    )


def _one_holder(state) -> bool:
    """At most one process would pass its own check now."""
    tick = state["tick"]
    holders = [p for p in state["processes"] if p[0] != WATCH and tick < p[2]]
    return len(holders) <= 1


def _effects_in_order(state) -> bool:
    effects = state["effects"]
    return all(a <= b for a, b in zip(effects, effects[1:], strict=False))


def _fences_are_unique(state) -> bool:
    fences = [p[3] for p in state["processes"] if p[0] >= HELD]
    return len(set(fences)) == len(fences)
