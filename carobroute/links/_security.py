"""CURVE keys of the links: who may connect, and how keys are rotated.

Listening sockets of the whole fleet share server keys, so that a client knows that it
talks to the fleet; each client has a key of its own that the key ring accepts. Both
kinds are ordered lists: the first is preferred, the others still work. A rotation adds
the new key at the end of the list, moves it to the front, and then drops the old one;
no step interrupts a link, since each process is on one step or the next.
"""

from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec
import zmq
import zmq.asyncio
import zmq.auth
from returns.result import Failure, Result, Success
from zmq.auth.asyncio import AsyncioAuthenticator

from carobroute.settings import CurveSettings, SettingFault

ZAP_DOMAIN = "links"
HANDSHAKE_MS = 5_000


class KeyRing(msgspec.Struct, frozen=True, kw_only=True):
    """Public keys in force, Z85; the first of each list is preferred.

    Parameters
    ----------
    accepted : list of str
        Keys of peers that may connect.
    servers : list of str
        Keys of listening sockets.
    """

    accepted: list[str]
    servers: list[str]


class KeyPairs(msgspec.Struct, frozen=True, kw_only=True):
    """Secret keys that this process holds, by public key.

    Parameters
    ----------
    own : dict of str to str
        Keys that it connects with.
    servers : dict of str to str
        Keys of its listening socket.
    """

    own: dict[str, str]
    servers: dict[str, str]


class LinkSecurity:
    """Keys of one process's links, and the check of who connects.

    Parameters
    ----------
    pairs : KeyPairs
        Secret keys held.
    ring : KeyRing
        Public keys in force.
    on_event : callable, default=None
        Called with an event name and fields for each refused peer.
    """

    __slots__ = ("_authenticator", "_on_event", "_pairs", "_ring", "counts")

    def __init__(
        self,
        *,
        pairs: KeyPairs,
        ring: KeyRing,
        on_event: Callable[..., None] | None = None,
    ):
        self._pairs = pairs
        self._ring = ring
        self._on_event = on_event or (lambda *args, **fields: None)
        self._authenticator: AsyncioAuthenticator | None = None
        self.counts: Counter[str] = Counter()

    @property
    def ring(self) -> KeyRing:
        """Public keys in force."""
        return self._ring

    @property
    def pairs(self) -> KeyPairs:
        """Secret keys held."""
        return self._pairs

    def use_pairs(self, pairs: KeyPairs) -> None:
        """Hold other secret keys from here on, for new connections."""
        self._pairs = pairs

    def start(self, context: zmq.asyncio.Context) -> None:
        """Have every connection to a protected socket of `context` checked."""
        self._authenticator = AsyncioAuthenticator(context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN, credentials_provider=self
        )

    def stop(self) -> None:
        """Stop checking; protected sockets accept nobody from here on."""
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether the peer with public `key` may connect; called by pyzmq."""
        accepted = self.accepts(key.decode("ascii", "replace"))
        if not accepted:
            self.counts["refused_peers"] += 1
            self._on_event("link_peer_refused", level="warning", public=key)
        return accepted

    def accepts(self, public: str) -> bool:
        """Tell whether a peer with the key `public` may stay connected."""
        return public in self._ring.accepted

    def use_ring(self, ring: KeyRing) -> bool:
        """Put `ring` in force for new connections.

        Returns
        -------
        server_changed : bool
            Whether the listening socket has to take another key.
        """
        before = self._server_key()
        self._ring = ring
        return self._server_key() != before

    def protect_listener(self, socket: zmq.asyncio.Socket) -> None:
        """Set the preferred server key on a socket that is going to be bound."""
        public = self._server_key()
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.setsockopt_string(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
        socket.curve_server = True
        socket.curve_publickey = public.encode()
        socket.curve_secretkey = self._pairs.servers[public].encode()

    def protect_connection(self, socket: zmq.asyncio.Socket, attempt: int) -> None:
        """Set keys on a socket that is going to connect.

        Parameters
        ----------
        socket : zmq.asyncio.Socket
            The socket.
        attempt : int
            Attempts that have failed in a row; each further one tries the next
            combination of an own and a server key.
        """
        own = self._own_keys()
        servers = self._ring.servers
        public = own[attempt % len(own)]
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.curve_publickey = public.encode()
        socket.curve_secretkey = self._pairs.own[public].encode()
        server = servers[attempt // len(own) % len(servers)]
        socket.curve_serverkey = server.encode()

    def _own_keys(self) -> list[str]:
        held = [key for key in self._ring.accepted if key in self._pairs.own]
        return held or list(self._pairs.own)

    def _server_key(self) -> str:
        for public in self._ring.servers:
            if public in self._pairs.servers:
                return public
        return next(iter(self._pairs.servers))


def load_link_security(
    settings: CurveSettings, *, on_event: Callable[..., None] | None = None
) -> Result[LinkSecurity, SettingFault]:
    """Return the security of links with the keys in the directories of `settings`.

    Until a ticket sets a key ring, the accepted directory is in force, and of several
    own or server keys the one whose file name sorts first is preferred.
    """
    own = _load_secrets(settings.own_directory)
    servers = _load_secrets(settings.servers_directory)
    if not own:
        return _no_keys(settings.own_directory, "*.key_secret files")
    if not servers:
        return _no_keys(settings.servers_directory, "*.key_secret files")
    accepted = _load_public(settings.accepted_directory)
    if not accepted:
        return _no_keys(settings.accepted_directory, "*.key files")
    ring = KeyRing(accepted=accepted, servers=list(servers))
    pairs = KeyPairs(own=own, servers=servers)
    return Success(LinkSecurity(pairs=pairs, ring=ring, on_event=on_event))


def _no_keys(path: str, expected: str) -> Failure:
    got = f"no readable key in {path}"
    return Failure(SettingFault(path="links.curve", got=got, expected=expected))


def _load_secrets(directory: str) -> dict[str, str]:
    pairs = {}
    for file in sorted(Path(directory).glob("*.key_secret")):
        public, secret = _read(file)
        if public and secret:
            pairs[public] = secret
    return pairs


def _load_public(directory: str) -> list[str]:
    found = [_read(file)[0] for file in sorted(Path(directory).glob("*.key"))]
    return [public for public in found if public]


def _read(file: Path) -> tuple[str, str]:
    """Return the public and the secret key of a certificate file, or empty text."""
    try:
        public, secret = zmq.auth.load_certificate(file)
    except (OSError, ValueError):
        return "", ""
    return public.decode(), secret.decode() if secret else ""
