"""Acceptance of tickets by two racing operators, with lost answers and late writes.

Each operator files one ticket that was written on top of ticket 0. A client reads the
row of its token, reads the head and checks for conflicts, sends the transaction, and
may give up or restart at any point; what it sent stays in the network and can reach
the store any number of times. The store forgets the results of transactions, so that
a transaction that took effect can be answered "not committed" when it comes again.

Bounds: two operators, one ticket each, each restarting at most `MAX_RESTARTS` times.
"""

from minicheck import Protocol

OPERATORS = (0, 1)
MAX_RESTARTS = 2

IDLE, TOKEN_ABSENT, CHECKED, SENT, LAST_LOOK, DONE, REFUSED = range(7)

FIELDS = ("log", "clients", "network", "answers", "restarts")


def make_model(
    *,
    same_object: bool = True,
    head_condition: bool = True,
    token_rows: bool = True,
    last_look: bool = True,
    conflict_check: bool = True,
) -> Protocol:
    """Return the model; each argument but the first is a mistake if set to False.

    Parameters
    ----------
    same_object : bool
        Whether both tickets touch one object, so that only one may win.
    head_condition : bool
        Whether the transaction requires the head that the check was made on.
    token_rows : bool
        Whether the transaction writes a row for its token, which filings look for.
    last_look : bool
        Whether a filing that would be refused looks for its token's row once more.
    conflict_check : bool
        Whether the objects changed since `based_on` are compared.
    """

    def transitions(state):
        log, clients, network, answers, restarts = state
        found = []
        for operator in OPERATORS:
            phase, head = clients[operator]
            found += _client_steps(state, operator, phase, head)
            if phase not in (IDLE, DONE, REFUSED) and restarts[operator] > 0:
                found.append(
                    (
                        f"restart {operator}",
                        (
                            log,
                            _put(clients, operator, (IDLE, 0)),
                            network,
                            answers,
                            _put(restarts, operator, restarts[operator] - 1),
                        ),
                    )
                )
        found += [_arrive(state, request) for request in network]
        return found

    def _client_steps(state, operator, phase, head):
        log, clients, network, answers, restarts = state

        def move(label, phase, head=0, network=network, answers=answers):
            moved = _put(clients, operator, (phase, head))
            return (f"{label} {operator}", (log, moved, network, answers, restarts))

        if phase == IDLE:
            if token_rows and operator in log:
                return [move("token row found", DONE, log.index(operator) + 1)]
            return [move("token row absent", TOKEN_ABSENT)]
        if phase == TOKEN_ABSENT:
            touched = [other for other in log if same_object or other == operator]
            if conflict_check and touched:
                after = LAST_LOOK if last_look and token_rows else REFUSED
                return [move("conflict", after)]
            return [move("checked", CHECKED, len(log))]
        if phase == LAST_LOOK:
            if operator in log:
                return [move("own ticket found", DONE, log.index(operator) + 1)]
            return [move("refuse", REFUSED)]
        if phase == CHECKED:
            sent = tuple(sorted({*network, (operator, head)}))
            return [move("send", SENT, head, network=sent)]
        if phase == SENT:
            return [
                move(
                    "answer",
                    DONE if committed else IDLE,
                    number if committed else 0,
                    answers=tuple(a for a in answers if a[:2] != (operator, head)),
                )
                for who, version, committed, number in answers
                if (who, version) == (operator, head)
            ]
        return []

    def _arrive(state, request):
        """The store applies a request; its answer may never be read."""
        log, clients, network, answers, restarts = state
        operator, head = request
        holds = not head_condition or len(log) == head
        holds = holds and not (token_rows and operator in log)
        if holds and len(log) < 4:
            log = (*log, operator)
        else:
            holds = False
        answer = (operator, head, holds, len(log) if holds else 0)
        answers = tuple(sorted({*answers, answer}))
        return (f"arrive {request}", (log, clients, network, answers, restarts))

    return Protocol(
        name="ticket acceptance",
        candidate=False,
        fields=FIELDS,
        initial=((), ((IDLE, 0), (IDLE, 0)), (), (), (MAX_RESTARTS, MAX_RESTARTS)),
        transitions=transitions,
        invariants={
            "accepted once": lambda d: all(d["log"].count(o) <= 1 for o in OPERATORS),
            "one winner": lambda d: not same_object or len(set(d["log"])) <= 1,
            "told the truth when accepted": _accepted_is_true,
            "told the truth when refused": _refused_is_true,
        },
    )


def _put(values: tuple, index: int, value) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _accepted_is_true(state) -> bool:
    return all(
        phase != DONE or state["log"][number - 1 : number] == (operator,)
        for operator, (phase, number) in enumerate(state["clients"])
    )


def _refused_is_true(state) -> bool:
    return all(
        phase != REFUSED or operator not in state["log"]
        for operator, (phase, _) in enumerate(state["clients"])
    )
