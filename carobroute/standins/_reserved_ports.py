"""Ports and loopback addresses that no other program is given during a test.

The kernel gives a port that has been freed to the next program that asks for any. So a
port that is to refuse connections, or to be bound by a process that starts later, stays
bound by a socket that never listens: the kernel gives it to nobody who asks for any
free port, neither to a server nor to an outgoing connection, and refuses connections to
it. A server that asks for this very port with `SO_REUSEADDR`, as those of asyncio do,
gets it.
"""

import contextlib
import random
import socket
from collections.abc import Callable, Iterable

LOOPBACK = "127.0.0.1"
MAX_DRAWS = 100


def reserve_port(ip: str = LOOPBACK, port: int = 0) -> socket.socket:
    """Return a socket that holds a TCP port until it is closed.

    Parameters
    ----------
    ip : str, default="127.0.0.1"
        Address of the port.
    port : int, default=0
        The port; 0 for any free one.

    Examples
    --------
    >>> with reserve_port() as held, socket.create_server(held.getsockname()) as server:
    ...     server.getsockname() == held.getsockname()
    True
    """
    held = socket.socket()
    try:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((ip, port))
    except BaseException:
        held.close()
        raise
    return held


def draw_loopback_ip() -> str:
    """Return a random address of the loopback network."""
    numbers = random.SystemRandom()
    return "127." + ".".join(str(numbers.randint(2, 250)) for _ in range(3))


class ReservedAddress:
    """Loopback address that one test has for itself, with fixed ports.

    It is held by a socket that shares its port with no other. Datagram ports can't be
    held for a process that binds them later, since sockets that share one take each
    other's datagrams. So they are fixed ones that the kernel gives to nobody who asks
    for any free port, and that are free when the address is drawn.

    Parameters
    ----------
    guard_port : int
        TCP port whose holder has the address.
    ports : iterable of int, default=()
        TCP ports that servers are to bind.
    datagram_ports : iterable of int, default=()
        UDP ports that servers are to bind.
    draw : callable, default=draw_loopback_ip
        Returns an address to be tried.
    """

    def __init__(
        self,
        *,
        guard_port: int,
        ports: Iterable[int] = (),
        datagram_ports: Iterable[int] = (),
        draw: Callable[[], str] = draw_loopback_ip,
    ):
        self._guard_port = guard_port
        self._ports = tuple(ports)
        self._datagram_ports = tuple(datagram_ports)
        self._draw = draw
        self._held = contextlib.ExitStack()
        self.ip = ""

    def __enter__(self) -> "ReservedAddress":
        self.reserve()
        return self

    def __exit__(self, *exc_info) -> None:
        self.release()

    def reserve(self) -> str:
        """Take an address that nobody else has, and return it."""
        for _ in range(MAX_DRAWS):
            ip = self._draw()
            with contextlib.suppress(OSError), contextlib.ExitStack() as held:
                # Without SO_REUSEADDR, no other socket gets the port as well.
                held.enter_context(socket.socket()).bind((ip, self._guard_port))
                for port in self._ports:
                    held.enter_context(reserve_port(ip, port))
                for port in self._datagram_ports:
                    with socket.socket(type=socket.SOCK_DGRAM) as probe:
                        probe.bind((ip, port))
                self._held, self.ip = held.pop_all(), ip
                return ip
        raise OSError(f"no free loopback address in {MAX_DRAWS} draws")

    def release(self) -> None:
        """Free the address and its ports."""
        self._held.close()
