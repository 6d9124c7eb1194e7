"""One caller's request, as the entry carries it."""

from carobroute.domain import CallClass, ServiceKind


class Call:
    """One request of one caller, whatever number of attempts it takes.

    Parameters
    ----------
    request_id : str
        128-bit identifier, 32 hexadecimal digits.
    team : str
        Team that the caller's API key belongs to.
    service : str
        Service that is called.
    kind : ServiceKind
        Model service or plain service.
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
        Monotonic time by which the answer must have begun.
    fingerprint : str
        Content hash of service, method, path and body.
    suspect_id : str
        Identity of the request for the quarantine.
    prompt_blocks : list of int
        Chained hashes of the prompt's blocks.
    tokens : int
        Estimated prompt tokens.
    stream : bool
        Whether the caller asked for server-sent events.
    received_ms : float
        Monotonic time at which the request had been read.
    """

    __slots__ = (
        "body",
        "call_class",
        "deadline_ms",
        "fingerprint",
        "headers",
        "idempotency_key",
        "kind",
        "method",
        "path",
        "priority",
        "prompt_blocks",
        "received_ms",
        "request_id",
        "service",
        "stream",
        "suspect_id",
        "team",
        "tokens",
    )

    def __init__(
        self,
        *,
        request_id: str,
        team: str,
        service: str,
        kind: ServiceKind,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        call_class: CallClass,
        idempotency_key: str,
        priority: int,
        deadline_ms: float,
        fingerprint: str,
        suspect_id: str,
        prompt_blocks: list[int],
        tokens: int,
        stream: bool,
        received_ms: float,
    ):
        self.request_id = request_id
        self.team = team
        self.service = service
        self.kind = kind
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.call_class = call_class
        self.idempotency_key = idempotency_key
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.fingerprint = fingerprint
        self.suspect_id = suspect_id
        self.prompt_blocks = prompt_blocks
        self.tokens = tokens
        self.stream = stream
        self.received_ms = received_ms

    @property
    def is_repeatable(self) -> bool:
        """Whether running the call twice does no harm."""
        return self.call_class is CallClass.IDEMPOTENT
