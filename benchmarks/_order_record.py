"""What callers were told of their orders, judged against the targets' own record."""

import json
from collections import Counter, defaultdict

import msgspec
import numpy as np

DONE, NOT_RUN, UNKNOWN, NO_ANSWER = "done", "not_run", "unknown", "no_answer"


class Submission(msgspec.Struct, kw_only=True):
    """One submission of an order and what the caller was told.

    Parameters
    ----------
    entry : int
        Entry that it went through.
    told : str
        `done`, `not_run`, `unknown`, or `no_answer`.
    request_id : str
        Identifier in the answer's head.
    kind, detail : str
        Error kind, and its text.
    body : bytes
        Body of a finished order's answer.
    """

    entry: int
    told: str
    request_id: str = ""
    kind: str = ""
    detail: str = ""
    body: bytes = b""


class Order(msgspec.Struct, kw_only=True):
    """One order and its submissions.

    `took_ms` is the time until its caller stopped, `first_told` what it then believed.
    """

    key: str
    phase: str
    body_hash: str
    submissions: list[Submission] = []
    took_ms: float = 0.0
    first_told: str = ""

    @property
    def told(self) -> str:
        """What the caller believes in the end: the best that it was told."""
        told = {submission.told for submission in self.submissions}
        return next(t for t in (DONE, UNKNOWN, NO_ANSWER, NOT_RUN) if t in told)


class Verdicts(msgspec.Struct, kw_only=True):
    """Keys of orders for which a promise was broken."""

    twice: list[str] = []
    false_not_run: list[str] = []
    false_done: list[str] = []
    wrong_answer: list[str] = []

    @property
    def broken(self) -> int:
        """Number of broken promises."""
        lists = (self.twice, self.false_not_run, self.false_done, self.wrong_answer)
        return sum(len(keys) for keys in lists)


def judge(orders: list[Order], runs: list[dict]) -> Verdicts:
    """Compare what callers were told with the runs that the targets recorded."""
    by_key = Counter(run["key"] for run in runs)
    by_request = {run["request_id"] for run in runs}
    verdicts = Verdicts(twice=[key for key, count in by_key.items() if count > 1])
    for order in orders:
        # An order of which the caller heard nothing but "not run" has not run, and
        # no submission that was answered "not run" has run.
        if order.told == NOT_RUN and by_key[order.key]:
            verdicts.false_not_run.append(order.key)
        for submission in order.submissions:
            if submission.told == NOT_RUN and submission.request_id in by_request:
                verdicts.false_not_run.append(order.key)
            if submission.told != DONE:
                continue
            if not by_key[order.key]:
                verdicts.false_done.append(order.key)
            answer = json.loads(submission.body)
            whose = (answer["key"], answer["body_hash"])
            if whose != (order.key, order.body_hash):
                verdicts.wrong_answer.append(order.key)
        bodies = {s.body for s in order.submissions if s.told == DONE}
        if len(bodies) > 1:
            verdicts.wrong_answer.append(order.key)
    return verdicts


def print_table(orders: list[Order], verdicts: Verdicts) -> None:
    """Print one line for each fault."""
    phases: dict[str, list[Order]] = defaultdict(list)
    for order in orders:
        phases[order.phase].append(order)
    broken = Counter(verdicts.twice + verdicts.false_not_run + verdicts.wrong_answer)
    print(
        f"{'fault':28}{'orders':>7}{'sent':>7}{'done':>7}{'not run':>8}"
        f"{'unknown':>8}{'share':>8}{'p50 ms':>8}{'p99 ms':>8}{'broken':>7}"
    )
    for phase, members in [*phases.items(), ("all", orders)]:
        told = Counter(order.first_told for order in members)
        sent = sum(len(order.submissions) for order in members)
        unknown = told[UNKNOWN] + told[NO_ANSWER]
        took = np.percentile([order.took_ms for order in members], [50, 99])
        wrong = sum(broken[order.key] for order in members)
        print(
            f"{phase:28}{len(members):7}{sent:7}{told[DONE]:7}{told[NOT_RUN]:8}"
            f"{unknown:8}{unknown / len(members):8.2%}{took[0]:8.0f}{took[1]:8.0f}"
            f"{wrong:7}"
        )


def print_kinds(orders: list[Order]) -> None:
    """Print how submissions were answered."""
    kinds = Counter(
        f"{submission.told} {submission.kind}".strip()
        for order in orders
        for submission in order.submissions
    )
    for name, count in kinds.most_common():
        print(f"  {count:7}  {name}")
