"""Endpoint: one process's end of all its links.

Each process binds one ROUTER socket for peers that open a link to it and opens one
DEALER socket for each peer that it calls. One task reads each connection, and one
task serves each peer: it sends, pings, notices silence and opens a new connection.
A connection that goes silent is abandoned for a new socket; messages that were lost
with it are made up for by the layer above (`on_reopen`), nothing is run again here.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import zmq
import zmq.asyncio

from carobroute.links._codec import (
    LOWEST_VERSION,
    VERSION,
    decode_body,
    decode_frame,
    encode_frame,
    take_batch,
)
from carobroute.links._messages import Hello, Message, Ok, Ping, Pong, Welcome
from carobroute.links._peer import LinkParameters, Peer
from carobroute.links._security import KeyRing, LinkSecurity
from carobroute.utils import Clock, TaskSet

MAX_CALL_ID = 1 << 62

Handler = Callable[[Peer, Any], Awaitable[Message | None] | Message | None]


class Endpoint:
    """All links of one process.

    Parameters
    ----------
    name, role, data_centre, incarnation : str
        Who this process is.
    clock : Clock
        Source of time.
    parameters : LinkParameters
        Times and bounds.
    ticket_number : callable
        Returns the highest ticket number in force here; sent with every frame.
    security : LinkSecurity or None, default=None
        Keys; without them links are plain.
    on_event : callable, default=None
        Called with an event name and fields, for the log.
    """

    def __init__(
        self,
        *,
        name: str,
        role: str,
        data_centre: str,
        incarnation: str,
        clock: Clock,
        parameters: LinkParameters | None = None,
        ticket_number: Callable[[], int] = lambda: 0,
        security: LinkSecurity | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.clock = clock
        self.parameters = parameters or LinkParameters()
        self.ticket_number = ticket_number
        self.security = security
        self.counts: Counter[str] = Counter()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._handlers: dict[type[Message], Handler] = {}
        self._outbound: dict[str, Peer] = {}
        self._inbound: dict[str, Peer] = {}
        self._by_routing_id: dict[bytes, Peer] = {}
        self._call_ids = itertools.count(1)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._listening = asyncio.Lock()
        self._reopen_hooks: list[Callable[[Peer], None]] = []
        self._ticket_hooks: list[Callable[[Peer, int], None]] = []
        self.address = ""

    @property
    def peers(self) -> list[Peer]:
        """All peers, those that this process calls first."""
        return [*self._outbound.values(), *self._inbound.values()]

    def heard(self, incarnation: str, *, within_ms: float) -> bool:
        """Whether the peer that opened a link here was heard within `within_ms`."""
        found = self._inbound.get(incarnation)
        return found is not None and found.silent_ms <= within_ms

    def next_call_id(self) -> int:
        """Return a number for a new call."""
        return next(self._call_ids) % MAX_CALL_ID

    def handle(
        self, kind: type[Message], handler: Handler, *, replace: bool = False
    ) -> None:
        """Have `handler` called for messages of type `kind`.

        With `replace` it takes the place of an earlier handler. A handler may be a
        plain or a coroutine function. Its return value, if any, is sent back as the
        reply to a call.
        """
        if kind in self._handlers and not replace:
            raise ValueError(f"{kind.__name__} already has a handler")
        self._handlers[kind] = handler

    def on_reopen(self, hook: Callable[[Peer], None]) -> None:
        """Have `hook` called when a new connection replaces a silent one."""
        self._reopen_hooks.append(hook)

    def on_ticket(self, hook: Callable[[Peer, int], None]) -> None:
        """Have `hook` called when a peer shows a ticket number other than ours."""
        self._ticket_hooks.append(hook)

    async def start(self, bind: str = "tcp://127.0.0.1:*") -> str:
        """Bind the listening socket and return its address."""
        self._context = zmq.asyncio.Context()
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.setsockopt(zmq.SNDHWM, 0)
        router.setsockopt(zmq.MAXMSGSIZE, self.parameters.max_bytes)
        if self.security is not None:
            self.security.start(self._context)
            self.security.protect_listener(router)
        router.bind(bind)
        self._router = router
        bound = router.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(bound, bytes)
        self.address = bound.decode().rstrip("\0")
        self._tasks.spawn(self._read_router(), name="links-router")
        self._tasks.spawn(self._expire_inbound(), name="links-expire")
        return self.address

    def peer(self, address: str, owner: str = "calls") -> Peer:
        """Return the peer at `address`, opening a link on first use.

        The link stays open until each `owner` that asked for it has called `forget`.
        """
        found = self._outbound.get(address)
        if found is None:
            found = Peer(endpoint=self, address=address)
            found._last_heard_ms = self.clock.now_ms()
            self._outbound[address] = found
            self._tasks.spawn(self._serve_peer(found), name=f"peer {address}")
        found.owners.add(owner)
        return found

    def forget(self, address: str, owner: str = "calls") -> None:
        """Close the link to `address` once no owner is left that asked for it."""
        found = self._outbound.get(address)
        if found is None:
            return
        found.owners.discard(owner)
        if not found.owners:
            del self._outbound[address]
            found._closing = True
            found._wake.set()

    async def stop(self) -> None:
        """Close all links."""
        await self._tasks.close()
        if self.security is not None:
            self.security.stop()
        if self._context is not None:
            self._context.destroy(linger=0)

    def use_key_ring(self, ring: KeyRing) -> None:
        """Put other keys in force.

        Peers whose key is no longer accepted are shut out. Links are opened anew with
        the preferred keys, and re-attach as after a silence.
        """
        if self.security is None or ring == self.security.ring:
            return
        if self.security.use_ring(ring):
            self._tasks.spawn(self._listen_anew(), name="links-listen")
        for peer in list(self._inbound.values()):
            if not self.security.accepts(peer._public):
                self.counts["withdrawn_key"] += 1
                self._drop_inbound(peer)
        for peer in self._outbound.values():
            peer._broken = True
            peer._wake.set()

    async def _listen_anew(self) -> None:
        """Listen with another server key; peers open their links anew."""
        assert self._router is not None and self.security is not None
        async with self._listening:
            self._router.unbind(self.address)
            self.security.protect_listener(self._router)
            while not self._bind_again():
                await self.clock.sleep_ms(self.parameters.reopen_ms)

    def _bind_again(self) -> bool:
        assert self._router is not None
        try:
            self._router.bind(self.address)
        except zmq.ZMQError as error:
            # The library frees the port a moment after the call that gave it up.
            if error.errno != zmq.EADDRINUSE:
                raise
            return False
        return True

    # Peers that this process calls.

    async def _serve_peer(self, peer: Peer) -> None:
        delay_ms = self.parameters.reopen_ms
        while not peer._closing:
            readers = await self._open(peer)
            try:
                await self._use_connection(peer)
            finally:
                for reader in readers:
                    reader.cancel()
                self._close_socket(peer)
            if peer._closing:
                break
            heard = peer._up
            peer._unheard = 0 if heard else peer._unheard + 1
            peer._up = False
            peer._reopened += 1
            self.counts["reopened"] += 1
            self._on_event("link_silent", level="warning", peer=str(peer))
            delay_ms = (
                self.parameters.reopen_ms
                if heard
                else min(delay_ms * 2, self.parameters.reopen_most_ms)
            )
            await self.clock.sleep_ms(delay_ms)

    async def _open(self, peer: Peer) -> list[asyncio.Task]:
        assert self._context is not None
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, self.parameters.max_bytes)
        # A lost connection is replaced here, with a new Hello, never by the library.
        socket.setsockopt(zmq.RECONNECT_IVL, -1)
        if self.security is not None:
            self.security.protect_connection(socket, peer._unheard)
        # Before the connection is tried, so that its first failure is seen.
        monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED)
        socket.connect(peer.address)
        peer._socket = socket
        peer._broken = False
        peer._ping_sent_ms = self.clock.now_ms()
        hello = Hello(
            lowest_version=LOWEST_VERSION,
            highest_version=VERSION,
            name=self.name,
            role=self.role,
            data_centre=self.data_centre,
        )
        await self._send_now(peer, self._encode([hello], peer))
        return [
            self._tasks.spawn(
                self._read_dealer(peer, socket), name=f"connection {peer.address}"
            ),
            self._tasks.spawn(
                self._watch_dealer(peer, socket, monitor),
                name=f"monitor {peer.address}",
            ),
        ]

    def _close_socket(self, peer: Peer) -> None:
        if peer._socket is not None:
            peer._socket.disable_monitor()
            peer._socket.close(linger=0)
            peer._socket = None

    async def _use_connection(self, peer: Peer) -> None:
        """Send, ping and watch one connection until it is silent or closed."""
        last_ping_ms = self.clock.now_ms()
        while not peer._closing:
            next_ping_ms = last_ping_ms + self._ping_interval_ms(peer)
            await self._wait(peer, next_ping_ms - self.clock.now_ms())
            now_ms = self.clock.now_ms()
            # The interval is longer again if an answer came meanwhile.
            if now_ms >= last_ping_ms + self._ping_interval_ms(peer):
                last_ping_ms = now_ms
                if peer._up:
                    peer._queue.append(Ping())
                    peer._ping_sent_ms = peer._ping_sent_ms or now_ms
            if self._is_silent(peer, now_ms):
                return
            await self._flush(peer)

    def _ping_interval_ms(self, peer: Peer) -> float:
        if peer._busy or peer._ping_sent_ms:
            return self.parameters.ping_busy_ms
        return self.parameters.ping_idle_ms

    def _is_silent(self, peer: Peer, now_ms: float) -> bool:
        if peer._broken:
            return True
        if not peer._ping_sent_ms:
            return False
        return now_ms - peer._ping_sent_ms > self.parameters.silence_ms

    async def _wait(self, peer: Peer, timeout_ms: float) -> None:
        if peer._wake.is_set():
            return
        try:
            async with asyncio.timeout(max(0.0, timeout_ms) / 1_000):
                await peer._wake.wait()
        except TimeoutError:
            pass

    async def _flush(self, peer: Peer) -> None:
        peer._wake.clear()
        if peer._socket is None or not peer._up:
            # Nothing leaves before the peer has answered, so that a message still
            # queued has truly not been sent.
            return
        while peer._queue and peer._socket is not None:
            batch = take_batch(peer._queue)
            if not await self._send_now(peer, self._encode(batch, peer)):
                peer._queue.extendleft(reversed(batch))
                return

    async def _send_now(self, peer: Peer, data: bytes) -> bool:
        """Send on the connection in use; return False if it is gone.

        A socket whose connection was refused or reset, and that does not connect
        again by itself, would hold the sender up for ever.
        """
        assert peer._socket is not None
        try:
            await peer._socket.send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            peer._broken = True
            peer._wake.set()
            return False
        return True

    def _encode(self, messages: list[Message], peer: Peer) -> bytes:
        data = encode_frame(
            messages,
            incarnation=self.incarnation,
            ticket=self.ticket_number(),
            version=min(VERSION, peer.version),
        )
        self.counts["frames_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        return data

    async def _read_dealer(self, peer: Peer, socket: zmq.asyncio.Socket) -> None:
        while True:
            data = await socket.recv()
            if peer._socket is not socket:
                return
            peer._ping_sent_ms = 0.0
            opened = not peer._up
            peer._up = True
            self._dispatch(peer, data)
            if opened:
                peer._wake.set()
                for hook in self._reopen_hooks:
                    hook(peer)

    async def _watch_dealer(
        self, peer: Peer, socket: zmq.asyncio.Socket, monitor: zmq.asyncio.Socket
    ) -> None:
        """Give the connection up as soon as the socket reports it closed."""
        await monitor.recv_multipart()
        if peer._socket is socket:
            peer._broken = True
            peer._wake.set()

    # Peers that opened a link to this process.

    async def _read_router(self) -> None:
        while True:
            parts, public = await self._receive()
            if len(parts) != 2:
                self.counts["refused_frame"] += 1
                continue
            routing_id, data = parts
            peer = self._by_routing_id.get(routing_id)
            if peer is None:
                peer = self._admit(routing_id, data, public)
                if peer is None:
                    continue
            self._dispatch(peer, data)

    async def _receive(self) -> tuple[list[bytes], str]:
        """Return the parts of the next message and the key of its sender."""
        assert self._router is not None
        if self.security is None:
            return await self._router.recv_multipart(), ""
        frames = await self._router.recv_multipart(copy=False)
        return [frame.bytes for frame in frames], str(frames[-1].get("User-Id"))

    def _admit(self, routing_id: bytes, data: bytes, public: str) -> Peer | None:
        """Return the peer behind a new connection, which must begin with Hello."""
        try:
            frame = decode_frame(data)
            first = decode_body(frame.body[0])
        except (msgspec.DecodeError, IndexError):
            self.counts["refused_frame"] += 1
            return None
        if not isinstance(first, Hello) or first.lowest_version > VERSION:
            self.counts["refused_hello"] += 1
            return None
        if self.security is not None and not self.security.accepts(public):
            self.counts["refused_key"] += 1
            return None
        peer = self._inbound.get(frame.incarnation)
        if peer is None:
            if len(self._inbound) >= self.parameters.max_inbound:
                self.counts["refused_inbound"] += 1
                return None
            peer = Peer(endpoint=self)
            peer.incarnation = frame.incarnation
            self._inbound[frame.incarnation] = peer
            self._tasks.spawn(self._serve_inbound(peer), name=f"peer {first.name}")
        self._by_routing_id.pop(peer._routing_id, None)
        peer._routing_id = routing_id
        peer._public = public
        peer._last_heard_ms = self.clock.now_ms()
        peer._up = True
        self._by_routing_id[routing_id] = peer
        return peer

    async def _serve_inbound(self, peer: Peer) -> None:
        while not peer._closing:
            await peer._wake.wait()
            peer._wake.clear()
            while peer._queue:
                data = self._encode(take_batch(peer._queue), peer)
                await self._send_routed(peer, data)

    async def _send_routed(self, peer: Peer, data: bytes) -> None:
        assert self._router is not None
        try:
            await self._router.send_multipart([peer._routing_id, data])
        except zmq.ZMQError:
            # The connection is gone; the peer opens a new one and re-attaches.
            self.counts["dropped_unroutable"] += 1

    async def _expire_inbound(self) -> None:
        """Forget inbound peers that have not been heard for several idle pings."""
        limit_ms = 4 * self.parameters.ping_idle_ms
        while True:
            await self.clock.sleep_ms(self.parameters.ping_idle_ms)
            for peer in list(self._inbound.values()):
                if peer.silent_ms > limit_ms:
                    self._drop_inbound(peer)

    def _drop_inbound(self, peer: Peer) -> None:
        peer._closing = True
        peer._up = False
        peer._wake.set()
        self._inbound.pop(peer.incarnation, None)
        self._by_routing_id.pop(peer._routing_id, None)

    # Both.

    def _dispatch(self, peer: Peer, data: bytes) -> None:
        self.counts["frames_received"] += 1
        self.counts["bytes_received"] += len(data)
        try:
            frame = decode_frame(data)
        except msgspec.DecodeError:
            self.counts["refused_frame"] += 1
            return
        if not peer.address and frame.incarnation != peer.incarnation:
            self.counts["refused_frame"] += 1
            return
        peer._last_heard_ms = self.clock.now_ms()
        peer.incarnation = frame.incarnation
        if frame.ticket != peer.ticket_number or frame.ticket != self.ticket_number():
            peer.ticket_number = frame.ticket
            for hook in self._ticket_hooks:
                hook(peer, frame.ticket)
        for raw in frame.body:
            try:
                entry = decode_body(raw)
            except msgspec.DecodeError:
                self.counts["refused_message"] += 1
                continue
            self._deliver_safely(peer, entry)

    def _deliver_safely(self, peer: Peer, entry: Message) -> None:
        """Deliver `entry`; its handler's failure must not end the reading task."""
        try:
            self._deliver(peer, entry)
        except Exception as error:
            self._task_failed(f"handler {type(entry).__name__}", error)

    def _deliver(self, peer: Peer, entry: Message) -> None:
        if entry.reply_to:
            peer._resolve(entry)
        elif isinstance(entry, Ping):
            peer.send(Pong())
        elif isinstance(entry, Pong):
            pass
        elif isinstance(entry, Hello):
            self._welcome(peer, entry)
        elif isinstance(entry, Welcome):
            peer.name, peer.role = entry.name, entry.role
            peer.data_centre = entry.data_centre
            peer.version = entry.version
        else:
            self._run_handler(peer, entry)

    def _welcome(self, peer: Peer, hello: Hello) -> None:
        peer.name, peer.role = hello.name, hello.role
        peer.data_centre = hello.data_centre
        peer.version = min(VERSION, hello.highest_version)
        peer.send(
            Welcome(
                version=peer.version,
                name=self.name,
                role=self.role,
                data_centre=self.data_centre,
            )
        )

    def _run_handler(self, peer: Peer, entry: Message) -> None:
        handler = self._handlers.get(type(entry))
        if handler is None:
            self.counts["unhandled"] += 1
            return
        result = handler(peer, entry)
        if isinstance(result, Message):
            self._reply(peer, entry, result)
        elif result is not None:
            self._tasks.spawn(
                self._finish_handler(peer, entry, result),
                name=f"handler {type(entry).__name__}",
            )

    async def _finish_handler(self, peer: Peer, entry: Message, result) -> None:
        reply = await result
        if isinstance(reply, Message):
            self._reply(peer, entry, reply)
        elif entry.call_id:
            self._reply(peer, entry, Ok())

    def _reply(self, peer: Peer, entry: Message, reply: Message) -> None:
        if entry.call_id:
            reply.reply_to = entry.call_id
        peer.send(reply)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self.counts["task_failures"] += 1
        self._on_event("task_failed", level="error", task=name, error=repr(error))
