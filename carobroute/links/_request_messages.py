"""Messages that carry requests and their answers."""

from carobroute.domain import CallClass
from carobroute.errors import Fault
from carobroute.links._messages import Message, message


@message
class Submit(Message, tag="submit"):
    """Asks a local process to run one attempt of a request.

    Parameters
    ----------
    request_id : str
        128-bit identifier given by the entry, 32 hexadecimal digits.
    attempt : int
        Number of the attempt, from 1.
    team, service, target : str
        Who asks, and for what.
    method, path : str
        HTTP method and path below the service.
    headers : dict of str to str
        Headers that are passed on.
    body : bytes
        Request body.
    call_class : CallClass
        Whether the call may be repeated.
    idempotency_key : str
        The caller's key, or empty.
    priority : int
        0 (lowest) to 9.
    deadline_ms : float
        Time left to the first byte of the answer, in milliseconds; 0 for no limit.
    fingerprint : str
        Content hash of the request.
    suspect_id : str
        Identity of the request for the quarantine.
    prompt_blocks : list of int
        Chained hashes of the prompt's blocks, for the prefix cache.
    alone : bool
        Whether the target must run nothing else beside it.
    resume_from : int
        Index of the first chunk that the caller has not had, for an engine that
        can resume; 0 for a fresh run.
    resume_state : bytes
        Text already sent, or an exported KV handle, for a resumed run.
    incarnation : str
        Incarnation of the local process that the message is meant for; any other
        refuses it.
    """

    request_id: str
    attempt: int
    team: str
    service: str
    target: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    call_class: CallClass
    idempotency_key: str = ""
    priority: int = 5
    deadline_ms: float = 0.0
    fingerprint: str = ""
    prompt_blocks: list[int] = []
    alone: bool = False
    resume_from: int = 0
    resume_state: bytes = b""
    incarnation: str = ""
    suspect_id: str = ""


@message
class Attach(Message, tag="attach"):
    """Asks for the answer of an attempt from chunk `index` on.

    An attempt that the local process does not know is closed for good, so that its
    answer "not run" stays true even if the `Submit` arrives later.

    Parameters
    ----------
    request_id : str
        The request.
    attempt : int
        The attempt.
    index : int
        First chunk wanted.
    incarnation : str
        Incarnation that the attempt was submitted to.
    started : bool
        Whether the status and headers have arrived already.
    age_ms : float
        Time since the attempt was submitted, in milliseconds.
    """

    request_id: str
    attempt: int
    index: int
    incarnation: str
    started: bool = False
    age_ms: float = 0.0


@message
class Cancel(Message, tag="cancel"):
    """Tells that the caller has gone; the answer is not wanted any more."""

    request_id: str
    attempt: int


@message
class Start(Message, tag="start"):
    """Status and headers of an answer."""

    request_id: str
    attempt: int
    status: int
    headers: dict[str, str]


@message
class Chunk(Message, tag="chunk"):
    """One piece of an answer's body; `index` counts from 0."""

    request_id: str
    attempt: int
    index: int
    data: bytes


@message
class End(Message, tag="end"):
    """Last message of an attempt.

    Parameters
    ----------
    request_id : str
        The request.
    attempt : int
        The attempt.
    chunks : int
        Number of chunks in the whole answer.
    fault : Fault or None
        Why there is no whole answer, or None if it is complete.
    redirect : str
        Target whose local process holds the answer to the same order, or empty.
    resume_state : bytes
        Exported state with which another target can continue the answer, or empty.
    crash : str
        Identity of the target's crash that ended the attempt, or empty.
    """

    request_id: str
    attempt: int
    chunks: int
    fault: Fault | None = None
    redirect: str = ""
    resume_state: bytes = b""
    crash: str = ""


@message
class Ack(Message, tag="ack"):
    """The entry holds all chunks below `index`.

    One more than the number of chunks says that the end has arrived too.
    """

    request_id: str
    attempt: int
    index: int


@message
class LoadReport(Message, tag="load"):
    """Load of one target, as its local process knows it.

    Parameters
    ----------
    target : str
        The target.
    running, queued : int
        Calls running in the engine, and calls waiting for it.
    concurrency : int
        Calls that the target runs at a time.
    step_ms : float
        Recent time of one step of the target's group, in milliseconds.
    tokens_queued : int
        Prompt tokens waiting.
    leaving : bool
        Whether the target takes no new work.
    known : int
        Attempts of the receiving entry that `running` and `queued` count.
    sequence : int
        Grows by one with each report of one incarnation.
    """

    target: str
    running: int
    queued: int
    concurrency: int
    step_ms: float = 0.0
    tokens_queued: int = 0
    leaving: bool = False
    known: int = 0
    sequence: int = 0
