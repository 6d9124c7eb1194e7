"""Addresses as text."""


def split_host_port(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`, without brackets of an IPv6 host.

    Examples
    --------
    >>> split_host_port("[::1]:8080")
    ('::1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
