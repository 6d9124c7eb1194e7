"""Reading of callers' requests."""

import hashlib
import itertools
from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from carobroute.domain import CallClass, ServiceKind
from carobroute.engines import block_hashes, count_tokens, prompt_text
from carobroute.entry._call import Call
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests import request_fingerprint
from carobroute.tickets import Configuration, ServiceObject, TeamObject
from carobroute.utils import Clock, content_hash

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
MAX_KEY_LENGTH = 255
MAX_DEADLINE_MS = 3_600_000.0
LOWEST_PRIORITY, HIGHEST_PRIORITY = 0, 9
PASSED_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "idempotency-key", "user-agent"}
)
MODEL_PATHS = {
    "/v1/chat/completions": "/v1/chat/completions",
    "/v1/completions": "/v1/completions",
}


class ModelRequest(msgspec.Struct, kw_only=True):
    """The fields of a model request that routing needs."""

    model: str
    stream: bool = False
    messages: list[Any] | None = None
    prompt: Any = None


def key_hash(key: str) -> str:
    """Return the hash under which a team's API key is configured.

    Examples
    --------
    >>> key_hash("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()


class TeamIndex:
    """Teams by the hash of their API keys, for one configuration."""

    __slots__ = ("_number", "_teams")

    def __init__(self) -> None:
        self._number = -1
        self._teams: dict[str, TeamObject] = {}

    def find(self, configuration: Configuration, api_key: str) -> TeamObject | None:
        """Return the team that `api_key` belongs to, or None."""
        if configuration.number != self._number:
            self._teams = {
                digest: team
                for team in configuration.teams()
                for digest in team.key_hashes
            }
            self._number = configuration.number
        try:
            return self._teams.get(key_hash(api_key))
        except UnicodeEncodeError:
            # Header bytes that are no UTF-8 are no team's key.
            return None


class CallParser:
    """Turns callers' requests into calls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    incarnation : str
        Incarnation of this entry; request identifiers derive from it.
    default_deadline_ms : float
        Deadline of a call that names none.
    """

    __slots__ = ("_clock", "_counter", "_default_deadline_ms", "_prefix", "_teams")

    def __init__(self, *, clock: Clock, incarnation: str, default_deadline_ms: float):
        self._clock = clock
        self._default_deadline_ms = default_deadline_ms
        self._prefix = content_hash(incarnation.encode())[:16]
        self._counter = itertools.count(1)
        self._teams = TeamIndex()

    def new_request_id(self) -> str:
        """Return an identifier that no other call has."""
        return f"{self._prefix}{next(self._counter):016x}"

    def authenticate(
        self, request: web.Request, configuration: Configuration
    ) -> Result[TeamObject, Fault]:
        """Return the team that the request's API key belongs to."""
        scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not api_key:
            return fail(
                ErrorKind.UNAUTHENTICATED, "expected the header 'Authorization: Bearer'"
            )
        team = self._teams.find(configuration, api_key.strip())
        if team is None:
            return fail(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        return Success(team)

    def parse_model_call(
        self,
        request: web.Request,
        body: bytes,
        *,
        request_id: str,
        team: TeamObject,
        configuration: Configuration,
    ) -> Result[Call, Fault]:
        """Return the call to a model service that an OpenAI-shaped request makes."""
        try:
            parsed = msgspec.json.decode(body, type=ModelRequest)
        except msgspec.DecodeError as error:
            return fail(ErrorKind.BAD_REQUEST, f"the body is not as expected: {error}")
        if parsed.messages is None and parsed.prompt is None:
            return fail(ErrorKind.BAD_REQUEST, "expected 'messages' or 'prompt'")
        service = _service_of_model(configuration, parsed.model)
        if service is None:
            return fail(
                ErrorKind.UNKNOWN_SERVICE, f"no service offers model {parsed.model!r}"
            )
        text = prompt_text(body)
        return self._build(
            request,
            body,
            request_id=request_id,
            team=team,
            service=service,
            path=MODEL_PATHS[request.path],
            call_class=CallClass.IDEMPOTENT,
            prompt_blocks=block_hashes(text),
            tokens=count_tokens(text),
            stream=parsed.stream,
        )

    def parse_plain_call(
        self,
        request: web.Request,
        body: bytes,
        *,
        request_id: str,
        team: TeamObject,
        configuration: Configuration,
    ) -> Result[Call, Fault]:
        """Return the call to a plain service, whose name begins the path."""
        name, _, rest = request.raw_path.lstrip("/").partition("/")
        service = configuration.service(name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            return fail(
                ErrorKind.UNKNOWN_SERVICE, f"no plain service is named {name!r}"
            )
        path = "/" + rest
        return self._build(
            request,
            body,
            request_id=request_id,
            team=team,
            service=service,
            path=path,
            call_class=call_class_of(service, request.method, path),
            prompt_blocks=[],
            tokens=1,
            stream=False,
        )

    def _build(
        self,
        request: web.Request,
        body: bytes,
        *,
        request_id: str,
        team: TeamObject,
        service: ServiceObject,
        path: str,
        call_class: CallClass,
        prompt_blocks: list[int],
        tokens: int,
        stream: bool,
    ) -> Result[Call, Fault]:
        if team.services and service.name not in team.services:
            return fail(
                ErrorKind.FORBIDDEN, f"team {team.name!r} may not call {service.name!r}"
            )
        key = request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"{KEY_HEADER} has {len(key)} characters, expected at most"
                f" {MAX_KEY_LENGTH}",
            )
        needs_key = service.key_required and call_class is CallClass.NON_IDEMPOTENT
        if needs_key and not key:
            return fail(ErrorKind.KEY_REQUIRED, f"expected the header {KEY_HEADER}")
        deadline = self._deadline_ms(request)
        priority = _priority(request, team)
        if isinstance(deadline, Failure):
            return deadline
        if isinstance(priority, Failure):
            return priority
        now_ms = self._clock.now_ms()
        identity = f"{service.name}\0{request.method}\0{path}\0".encode()
        return Success(
            Call(
                request_id=request_id,
                team=team.name,
                service=service.name,
                kind=service.kind,
                method=request.method,
                path=path,
                headers=_passed_headers(request),
                body=body,
                call_class=call_class,
                idempotency_key=key,
                priority=priority.unwrap(),
                deadline_ms=now_ms + deadline.unwrap(),
                fingerprint=content_hash(identity + body),
                suspect_id=request_fingerprint(
                    service.name, request.method, path, body
                ),
                prompt_blocks=prompt_blocks,
                tokens=tokens,
                stream=stream,
                received_ms=now_ms,
            )
        )

    def _deadline_ms(self, request: web.Request) -> Result[float, Fault]:
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return Success(self._default_deadline_ms)
        return _number(DEADLINE_HEADER, text, lowest=1, highest=MAX_DEADLINE_MS)


def call_class_of(service: ServiceObject, method: str, path: str) -> CallClass:
    """Return the class of a call; what no rule names may not be repeated."""
    for rule in service.calls:
        if rule.method in ("*", method) and path.startswith(rule.path):
            return rule.call_class
    return CallClass.NON_IDEMPOTENT


def _service_of_model(configuration: Configuration, model: str) -> ServiceObject | None:
    for service in configuration.services():
        if service.kind is ServiceKind.MODEL and model in service.models:
            return service
    return None


def _priority(request: web.Request, team: TeamObject) -> Result[int, Fault]:
    text = request.headers.get(PRIORITY_HEADER)
    if text is None:
        return Success(min(5, team.priority))
    asked = _number(
        PRIORITY_HEADER, text, lowest=LOWEST_PRIORITY, highest=HIGHEST_PRIORITY
    )
    return asked.map(lambda value: min(int(value), team.priority))


def _number(
    name: str, text: str, *, lowest: float, highest: float
) -> Result[float, Fault]:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not lowest <= value <= highest:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"header {name} is {text[:40]!r}, expected a number from {lowest:g} to"
            f" {highest:g}",
        )
    return Success(value)


def _passed_headers(request: web.Request) -> dict[str, str]:
    return {
        name: value
        for name, value in request.headers.items()
        if name.lower() in PASSED_HEADERS
    }
