"""TCP proxy that injects faults between real processes.

Faults are set on a port and hold for its connections, or are done once to the
connections that are open. Random choices come from one seeded generator.
"""

import asyncio
import contextlib
import random
import struct
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET

import msgspec

CHUNK_BYTES = 64 * 1024
QUEUED_CHUNKS = 64
FIRST_BYTES = 4 * 1024
RESET = struct.pack("ii", 1, 0)


class Faults(msgspec.Struct, kw_only=True):
    """Faults that hold for a port until they are changed.

    Parameters
    ----------
    delay_ms, jitter_ms : float
        Delay of every chunk, and the most that is added at random. Order is kept
        within a connection and not between connections.
    bytes_per_s : float
        Throughput of each direction of a connection; 0 for no limit.
    refuse : bool
        New connections are reset at once.
    silent_up, silent_down : bool
        Nothing passes from client to server, or back, on any connection.
    drop_answers : int
        Number of answers still to be lost: the request has gone through, the first
        chunk that comes back is discarded and the connection is reset.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0
    refuse: bool = False
    silent_up: bool = False
    silent_down: bool = False
    drop_answers: int = 0


class _Connection:
    """One proxied connection: a reading and a writing task for each direction."""

    def __init__(self, *, port: "ProxiedPort", client, server):
        self._port = port
        self._client_reader, self._client = client
        self._server_reader, self._server = server
        self.silent_up = False
        self.silent_down = False
        self.given_up = False
        self.label = ""

    async def run(self) -> None:
        tasks = [
            asyncio.create_task(self._relay(self._client_reader, self._server, True)),
            asyncio.create_task(self._relay(self._server_reader, self._client, False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.reset()

    def reset(self) -> None:
        """Close both sides with RST, so that neither can take it for an end."""
        for writer in (self._client, self._server):
            raw = writer.get_extra_info("socket")
            if raw is not None and not writer.is_closing():
                with contextlib.suppress(OSError):
                    raw.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
            writer.transport.abort()

    async def _relay(self, reader, writer, up: bool) -> None:
        queue: asyncio.Queue = asyncio.Queue(QUEUED_CHUNKS)
        sender = asyncio.create_task(self._send(queue, writer, up))
        reading = asyncio.create_task(self._read(reader, queue, up))
        try:
            done, _ = await asyncio.wait(
                {sender, reading}, return_when=asyncio.FIRST_EXCEPTION
            )
            for task in done:
                task.result()
        finally:
            sender.cancel()
            reading.cancel()

    async def _read(self, reader, queue: asyncio.Queue, up: bool) -> None:
        loop = asyncio.get_running_loop()
        due_s = 0.0
        while data := await reader.read(CHUNK_BYTES):
            if up and not self.label:
                self.label = self._port.classify(data[:FIRST_BYTES])
            faults = self._port.faults
            if self._loses(up):
                self._mute(up)
                continue
            if not up and faults.drop_answers > 0:
                faults.drop_answers -= 1
                raise ConnectionResetError("answer dropped")
            due_s = max(due_s, loop.time() + self._port.draw_delay_ms() / 1_000)
            if faults.bytes_per_s:
                due_s += len(data) / faults.bytes_per_s
            await queue.put((due_s, data))
        self.given_up |= up
        if self._loses(up):
            # A path that has lost the connection does not carry its end either.
            await asyncio.Event().wait()
        await queue.put((due_s, b""))

    async def _send(self, queue: asyncio.Queue, writer, up: bool) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            if self._loses(up):
                self._mute(up)
                continue
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def _mute(self, up: bool) -> None:
        """Keep a direction silent that has lost bytes; TCP never delivers a gap."""
        if up:
            self.silent_up = True
        else:
            self.silent_down = True

    def _loses(self, up: bool) -> bool:
        if up:
            return self.silent_up or self._port.faults.silent_up or self._cut_off
        return self.silent_down or self._port.faults.silent_down or self._cut_off

    @property
    def _cut_off(self) -> bool:
        return bool(self.label) and self.label in self._port.silent_labels


class ProxiedPort:
    """One listening port of the proxy, in front of one server.

    Parameters
    ----------
    generator : random.Random
        Source of random delays.
    classify : callable or None, default=None
        Returns a label for the first bytes that a client sent, for faults that hold
        for some clients only.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        classify: Callable[[bytes], str] | None = None,
    ):
        self.faults = Faults()
        self.silent_labels: set[str] = set()
        self.accepted = 0
        self.classify = classify or (lambda data: "")
        self._generator = generator
        self._target: tuple[str, int] | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        """`host:port` that clients use instead of the server's."""
        return f"{self.host}:{self.port}"

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._connections)

    @property
    def silent_in_use(self) -> int:
        """Number of silenced connections that their clients still hold on to."""
        return sum(
            (connection.silent_up or connection.silent_down) and not connection.given_up
            for connection in self._connections
        )

    async def listen(self) -> None:
        """Take a free port and accept connections on it."""
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def forward_to(self, address: str) -> None:
        """Set the server, as `host:port` with or without a scheme before it."""
        host, _, port = address.rpartition("//")[2].rstrip("/").rpartition(":")
        self._target = (host, int(port))

    def draw_delay_ms(self) -> float:
        """Return the delay of the next chunk."""
        jitter_ms = self.faults.jitter_ms
        return self.faults.delay_ms + self._generator.random() * jitter_ms

    def cut(self) -> int:
        """Reset the open connections and return how many there were."""
        connections = list(self._connections)
        for connection in connections:
            connection.reset()
        return len(connections)

    def silence(self, *, up: bool = True, down: bool = True) -> int:
        """Silence the open connections for good; new ones work.

        Returns
        -------
        silenced : int
            Number of connections that were open.
        """
        for connection in self._connections:
            connection.silent_up |= up
            connection.silent_down |= down
        return len(self._connections)

    def heal(self) -> None:
        """Take back every fault that holds for the port."""
        self.faults = Faults()
        self.silent_labels.clear()

    async def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.cut()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(self, reader, writer) -> None:
        self.accepted += 1
        if self.faults.refuse or self._target is None:
            writer.transport.abort()
            return
        server = await asyncio.open_connection(*self._target)
        connection = _Connection(port=self, client=(reader, writer), server=server)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class FaultProxy:
    """Several proxied ports with one seeded source of random choices.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    """

    def __init__(self, *, seed: int):
        self._generator = random.Random(seed)
        self._ports: list[ProxiedPort] = []

    async def __aenter__(self) -> "FaultProxy":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def port(
        self, target: str = "", *, classify: Callable[[bytes], str] | None = None
    ) -> ProxiedPort:
        """Return a new port in front of `target`, which may be set later."""
        port = ProxiedPort(generator=self._generator, classify=classify)
        if target:
            port.forward_to(target)
        await port.listen()
        self._ports.append(port)
        return port

    async def close(self) -> None:
        """Close all ports."""
        for port in self._ports:
            await port.close()
