"""Answers to calls that reach a local process before it is ready for them."""

from carobroute.errors import ErrorKind, Fault
from carobroute.links import Attach, End, Endpoint, Peer, Submit


def refuse_early_calls(endpoint: Endpoint) -> None:
    """Refuse calls until `LocalProcess.start` takes them.

    A process that is replaced at its old address is called at once, while it may still
    be waiting for its configuration. Without an answer its callers would wait until
    their deadline.
    """
    endpoint.handle(Submit, _refuse_submit)
    endpoint.handle(Attach, _refuse_attach)


def _refuse_submit(peer: Peer, submit: Submit) -> None:
    fault = Fault(
        kind=ErrorKind.NO_TARGET,
        detail=f"the local process beside {submit.target!r} is not ready yet",
    )
    _end(peer, submit, fault)


def _refuse_attach(peer: Peer, attach: Attach) -> None:
    fault = Fault(
        kind=ErrorKind.PEER_LOST, detail="the local process has been replaced"
    )
    _end(peer, attach, fault)


def _end(peer: Peer, entry: Submit | Attach, fault: Fault) -> None:
    peer.send(
        End(request_id=entry.request_id, attempt=entry.attempt, chunks=0, fault=fault)
    )
