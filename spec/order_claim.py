"""Model of the order claim: lost answers, releases, take-over, pauses, clean-up.

One order, two local processes and up to three submissions of it; the third comes to the
first process after it has given the first up. Writes to the table, and calls to the
target, are under way for any time and may take effect when their sender has given up,
is paused or is dead. A pause is any interleaving, also between the check of the lease
and the call.

Run `python -m spec.order_claim` for the result and the number of states.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol, check_safety

IDLE, SENT, GRANTED, CHECKED, CALLED, DONE, NOT_RUN, UNKNOWN = range(8)
"""Stage of a submission; the last three are what its caller was told."""

LEASED = (SENT, GRANTED, CHECKED)

NO_WRITE, UNDER_WAY, COMMITTED, REFUSED = range(4)
"""A claim's write, and with 0 to 2 also its release and its record of the ending."""

NO_CALL, CALL_SENT, RAN, FENCED = range(4)
"""A call to the target."""

NO_ROW, ROW_RELEASED, ROW_DONE, ROW_UNKNOWN = -1, -2, -3, -4
"""State of the order's row; 0 and up is the submission that has claimed it."""

PROCESS_OF = (0, 1, 0)
MAX_ROUNDS = 2
MAX_CLEANED = 1
MAX_STATES = 3_000_000

MISTAKES = (
    "clock not required",
    "silence taken for never",
    "late grant accepted",
    "lost answer released",
    "release deletes the row",
    "lease not checked",
    "take-over without a wait",
    "fence not required",
    "claimed anew after the retention",
    "release meets another claim",
)


class Claim(NamedTuple):
    """One submission: its stage, its writes and its call."""

    stage: int = IDLE
    write: int = NO_WRITE
    version: int = 0
    clock: int = 0
    rounds: int = 0
    lease: bool = True
    call: int = NO_CALL
    release: int = NO_WRITE
    release_version: int = 0
    release_clock: int = 0
    ending: int = NO_WRITE


class State(NamedTuple):
    """The table, the target, both processes and all submissions."""

    claims: tuple[Claim, ...] = (Claim(),) * len(PROCESS_OF)
    alive: tuple[bool, bool] = (True, True)
    row: int = NO_ROW
    version: int = 0
    clock: int = 0
    done_removed: bool = False
    holder: int = 0
    target_fence: int = 0
    later_began: bool = False
    runs: int = 0
    stale_run: bool = False
    stale_check: bool = False


class Variant(NamedTuple):
    """What is modelled.

    `same_target` has the second process take the target over from the first. Crashes
    are left out where a mistake shows without them.
    """

    same_target: bool
    honours_fencing: bool
    submissions: int = 3
    crashes: bool = True
    mistake: str = ""


Step = tuple[str, State]


def transitions(variant: Variant) -> Callable[[State], list[Step]]:
    """Return the function from a state to the states that may follow."""

    def after(state: State) -> list[Step]:
        steps = list(_environment(state, variant))
        for number in range(variant.submissions):
            steps += _network(state, number, variant)
            if state.alive[PROCESS_OF[number]]:
                steps += _process(state, number, variant)
        return steps

    return after


def _change(state: State, number: int, **fields) -> State:
    claims = list(state.claims)
    claims[number] = _settled(claims[number]._replace(**fields))
    return state._replace(claims=tuple(claims))


def _settled(claim: Claim) -> Claim:
    """Forget what can have no effect any more, so that equal states meet."""
    under_way = UNDER_WAY in (claim.write, claim.release, claim.ending)
    if claim.stage < DONE or under_way or claim.call == CALL_SENT:
        return claim
    return Claim(
        stage=claim.stage,
        write=claim.write,
        call=claim.call,
        ending=claim.ending,
        lease=False,
    )


def _environment(state: State, variant: Variant) -> Iterator[Step]:
    """Crashes, leases that lapse, take-over of the target, clean-up."""
    for process in (0, 1):
        if variant.crashes and state.alive[process]:
            alive = tuple(a and p != process for p, a in enumerate(state.alive))
            yield f"crash {process}", state._replace(alive=alive)
    for number, claim in enumerate(state.claims):
        if claim.lease and claim.stage in LEASED:
            yield f"lapse {number}", _change(state, number, lease=False)
    if variant.same_target and state.holder == 0:
        yield "take over", state._replace(holder=1)
    if state.holder == 1 and not state.later_began and _may_begin(state, variant):
        # The later holder runs some other order.
        yield "later order", state._replace(later_began=True, target_fence=1)
    if state.row in (ROW_RELEASED, ROW_DONE) and state.clock < MAX_CLEANED:
        yield (
            "clean up",
            state._replace(
                row=NO_ROW,
                version=0,
                clock=state.clock + 1,
                done_removed=state.done_removed or state.row == ROW_DONE,
            ),
        )


def _may_begin(state: State, variant: Variant) -> bool:
    """Whether the later holder has waited the earlier one's leases and calls out."""
    if variant.honours_fencing or variant.mistake == "take-over without a wait":
        return True
    return not any(
        claim.call == CALL_SENT or (claim.lease and claim.stage in LEASED)
        for number, claim in enumerate(state.claims)
        if PROCESS_OF[number] == 0
    )


def _network(state: State, number: int, variant: Variant) -> Iterator[Step]:
    """Writes and calls that take effect, whatever became of their sender."""
    claim = state.claims[number]
    if claim.write == UNDER_WAY:
        yield f"claim lands {number}", _land_claim(state, number, variant)
    if claim.release == UNDER_WAY:
        yield f"release lands {number}", _land_release(state, number, variant)
    if claim.ending == UNDER_WAY:
        yield f"ending lands {number}", _land_ending(state, number)
    if claim.call == CALL_SENT:
        yield f"call lands {number}", _land_call(state, number, variant)


def _land_claim(state: State, number: int, variant: Variant) -> State:
    claim = state.claims[number]
    holds = claim.version == state.version
    if variant.mistake != "clock not required":
        holds = holds and claim.clock == state.clock
    if variant.same_target and variant.mistake != "fence not required":
        holds = holds and PROCESS_OF[number] == state.holder
    if not holds:
        return _change(state, number, write=REFUSED)
    state = _change(state, number, write=COMMITTED)
    return state._replace(row=number, version=state.version + 1)


def _land_release(state: State, number: int, variant: Variant) -> State:
    claim = state.claims[number]
    if variant.mistake == "release deletes the row":
        if state.row == number:
            state = state._replace(row=NO_ROW, version=0)
        return _change(state, number, release=COMMITTED)
    fits = claim.release_version == state.version
    if fits and claim.release_clock == state.clock:
        state = _change(state, number, release=COMMITTED)
        return state._replace(row=ROW_RELEASED, version=state.version + 1)
    # After a clean-up the claim can land no more; only its own row is left to release.
    if variant.mistake != "release meets another claim":
        fits = False
    if state.row == number or fits:
        return _change(
            state, number, release_version=state.version, release_clock=state.clock
        )
    return _change(state, number, release=COMMITTED)


def _land_ending(state: State, number: int) -> State:
    claim = state.claims[number]
    if state.row != number or state.version != claim.version + 1:
        return _change(state, number, ending=REFUSED)
    state = _change(state, number, ending=COMMITTED)
    row = ROW_DONE if claim.stage == DONE else ROW_UNKNOWN
    return state._replace(row=row, version=state.version + 1)


def _land_call(state: State, number: int, variant: Variant) -> State:
    fence = PROCESS_OF[number] if variant.same_target else 0
    if variant.honours_fencing and fence < state.target_fence:
        return _change(state, number, call=FENCED)
    stale = variant.same_target and fence < state.target_fence
    state = _change(state, number, call=RAN)
    return state._replace(runs=state.runs + 1, stale_run=state.stale_run or stale)


def _process(state: State, number: int, variant: Variant) -> Iterator[Step]:
    """What the live process of a submission may do next."""
    claim = state.claims[number]
    if claim.stage == IDLE and _may_submit(state, number, variant):
        yield f"claim {number}", _send_claim(state, number, 0)
    elif claim.stage == SENT:
        yield f"give up {number}", _give_up(state, number, claim.version)
        if claim.write in (COMMITTED, REFUSED):
            yield f"claim answered {number}", _take_answer(state, number, variant)
    elif claim.stage == GRANTED:
        yield f"check {number}", _check(state, number, variant)
    elif claim.stage == CHECKED:
        yield f"call {number}", _change(state, number, stage=CALLED, call=CALL_SENT)
        yield f"refused {number}", _give_up(state, number, claim.version + 1)
    elif claim.stage == CALLED:
        yield from _take_reply(state, number, variant)
    elif variant.mistake == "late grant accepted" and _granted_late(claim):
        yield f"late {number}", _change(state, number, call=CALL_SENT)


def _granted_late(claim: Claim) -> bool:
    told = claim.stage == NOT_RUN
    return told and claim.write == COMMITTED and claim.call == NO_CALL


def _may_submit(state: State, number: int, variant: Variant) -> bool:
    # The retention of a done order outlasts its submissions.
    if state.done_removed:
        return False
    if number == 2 and state.claims[0].stage != NOT_RUN:
        return False
    if not variant.same_target or PROCESS_OF[number] == 0:
        return True
    return state.holder == 1 and _may_begin(state, variant)


def _send_claim(state: State, number: int, version: int) -> State:
    return _change(
        state,
        number,
        stage=SENT,
        write=UNDER_WAY,
        version=version,
        clock=state.clock,
        rounds=state.claims[number].rounds + 1,
    )


def _give_up(state: State, number: int, version: int) -> State:
    """Answer "not run" and release the row, whether or not the claim has landed."""
    return _change(
        state,
        number,
        stage=NOT_RUN,
        release=UNDER_WAY,
        release_version=version,
        release_clock=state.claims[number].clock,
    )


def _take_answer(state: State, number: int, variant: Variant) -> State:
    claim = state.claims[number]
    if claim.write == COMMITTED:
        return _change(state, number, stage=GRANTED)
    lost = variant.same_target and PROCESS_OF[number] != state.holder
    late = state.done_removed and variant.mistake != "claimed anew after the retention"
    if lost or late or claim.rounds >= MAX_ROUNDS:
        return _change(state, number, stage=NOT_RUN)
    if state.row == ROW_DONE:
        return _change(state, number, stage=DONE)
    if state.row == ROW_UNKNOWN:
        return _change(state, number, stage=UNKNOWN)
    if state.row >= 0 and not _never_runs(state, state.row, variant):
        return _change(state, number, stage=UNKNOWN)
    return _send_claim(state, number, state.version)


def _never_runs(state: State, number: int, variant: Variant) -> bool:
    """Whether the process of a claim answers that it will never be run."""
    if not state.alive[PROCESS_OF[number]]:
        return variant.mistake == "silence taken for never"
    return state.claims[number].stage == NOT_RUN


def _check(state: State, number: int, variant: Variant) -> State:
    claim = state.claims[number]
    if not claim.lease and variant.mistake != "lease not checked":
        return _give_up(state, number, claim.version + 1)
    stale = PROCESS_OF[number] == 0 and state.later_began
    state = _change(state, number, stage=CHECKED)
    return state._replace(stale_check=state.stale_check or stale)


def _take_reply(state: State, number: int, variant: Variant) -> Iterator[Step]:
    claim = state.claims[number]
    if claim.call == RAN:
        yield f"reply {number}", _change(state, number, stage=DONE, ending=UNDER_WAY)
    if claim.call == FENCED:
        yield f"fenced {number}", _give_up(state, number, claim.version + 1)
    if variant.mistake == "lost answer released":
        yield f"reply lost {number}", _give_up(state, number, claim.version + 1)
    else:
        lost = _change(state, number, stage=UNKNOWN, ending=UNDER_WAY)
        yield f"reply lost {number}", lost


def invariants(variant: Variant) -> dict[str, Callable[[dict], bool]]:
    """Return what must hold in every state."""

    def not_run_is_true(state: dict) -> bool:
        calls = (CALL_SENT, RAN)
        told = (claim for claim in state["claims"] if claim.stage == NOT_RUN)
        return not any(claim.call in calls for claim in told)

    def done_has_run(state: dict) -> bool:
        told = any(claim.stage == DONE for claim in state["claims"])
        return state["runs"] == 1 or not told

    def endings_are_kept(state: dict) -> bool:
        return not any(claim.ending == REFUSED for claim in state["claims"])

    required: dict[str, Callable[[dict], bool]] = {
        "runs at most once": lambda state: state["runs"] <= 1,
        "not run is true": not_run_is_true,
        "done has run": done_has_run,
        "endings are kept": endings_are_kept,
    }
    if variant.honours_fencing:
        required["no stale run"] = lambda state: not state["stale_run"]
    else:
        # What remains is a pause between the check and the call.
        required["no stale check"] = lambda state: not state["stale_check"]
    return required


def order_claim(variant: Variant) -> Protocol:
    """Return the model of one variant."""
    return Protocol(
        name="order claim",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=transitions(variant),
        invariants=invariants(variant),
    )


VARIANTS = (
    Variant(same_target=False, honours_fencing=False),
    Variant(same_target=True, honours_fencing=False, submissions=2),
    Variant(same_target=True, honours_fencing=True, submissions=2),
)


def main() -> None:
    """Check every variant and print the result."""
    for variant in VARIANTS:
        result = check_safety(order_claim(variant), max_states=MAX_STATES)
        states, whole = result["reachable_states"], result["exhaustive"]
        print(f"{variant}: {states} states, exhaustive: {whole}")
        for name, found in result["properties"].items():
            print(f"  {name}: {found['holds']}")
            for step in found.get("counterexample") or []:
                print("   ", step["label"])


if __name__ == "__main__":
    main()
