"""The harness of gateway processes."""

import socket

from carobroute.testing._gateway_run import draw_ports


# Guards against a gateway that does not start because a port was drawn twice.
def test_ports_of_a_process_are_all_different():
    for _ in range(2_000):
        with socket.socket() as store:
            store.bind(("127.9.9.9", 0))
            ports = draw_ports("127.9.9.9")
            used = {store.getsockname()[1], *ports, *(port + 1 for port in ports)}
            assert len(used) == 7
