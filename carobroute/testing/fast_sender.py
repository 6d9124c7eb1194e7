"""Peers that send as fast as the kernel takes it, whatever the event loop does."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from carobroute.standins._reserved_ports import LOOPBACK

SEND_BYTES = 64 * 1024
TIMEOUT_S = 20.0


@contextmanager
def run_fast_target(beginning: bytes, piece: bytes, total_bytes: int) -> Iterator[str]:
    """Run a target that answers with a beginning and many pieces; yield its address.

    It serves one request on each connection, and closes the connection then.

    Parameters
    ----------
    beginning : bytes
        Head of the answer.
    piece : bytes
        What follows, again and again.
    total_bytes : int
        Size of what follows.
    """
    with socket.create_server((LOOPBACK, 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        thread = threading.Thread(
            target=_serve, args=(listener, beginning, piece, total_bytes)
        )
        thread.start()
        try:
            yield "{}:{}".format(*listener.getsockname()[:2])
        finally:
            # Wakes the thread up.
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


def send_fast(
    address: str, head: bytes, piece: bytes, total_bytes: int, end: bytes
) -> None:
    """Send a request with many pieces on a connection, and wait for an answer.

    Parameters
    ----------
    address : str
        `host:port` of the server.
    head : bytes
        Head of the request.
    piece : bytes
        What follows, again and again.
    total_bytes : int
        Size of what follows.
    end : bytes
        End of the request.
    """
    host, port = address.split(":")
    with (
        contextlib.suppress(OSError),
        socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection,
    ):
        connection.sendall(head)
        _send_pieces(connection, piece, total_bytes)
        connection.sendall(end)
        connection.recv(SEND_BYTES)


def _serve(
    listener: socket.socket, beginning: bytes, piece: bytes, total_bytes: int
) -> None:
    threads = []
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threads.append(
                threading.Thread(
                    target=_answer, args=(connection, beginning, piece, total_bytes)
                )
            )
            threads[-1].start()
    for thread in threads:
        thread.join()


def _answer(
    connection: socket.socket, beginning: bytes, piece: bytes, total_bytes: int
) -> None:
    connection.settimeout(TIMEOUT_S)
    with connection, contextlib.suppress(OSError):
        connection.recv(SEND_BYTES)
        connection.sendall(beginning)
        _send_pieces(connection, piece, total_bytes)


def _send_pieces(connection: socket.socket, piece: bytes, total_bytes: int) -> None:
    batch = piece * (SEND_BYTES // len(piece))
    for _ in range(total_bytes // len(batch)):
        connection.sendall(batch)
