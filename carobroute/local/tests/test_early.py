from carobroute.links import Attach, End, Endpoint, Submit
from carobroute.local import refuse_early_calls
from carobroute.testing import FakePeer, make_submit
from carobroute.utils import Clock


def make_endpoint():
    return Endpoint(
        name="local", role="local", data_centre="suva", incarnation="l~1", clock=Clock()
    )


def test_call_before_the_process_is_ready_is_answered_not_run():
    """It was dropped without a word, and its caller waited until the deadline."""
    endpoint, peer = make_endpoint(), FakePeer()
    refuse_early_calls(endpoint)
    endpoint._deliver(peer, make_submit())
    assert [end.fault.not_run for end in peer.of_kind(End)] == [True]


def test_attempt_of_an_earlier_run_is_unknown():
    endpoint, peer = make_endpoint(), FakePeer()
    refuse_early_calls(endpoint)
    endpoint._deliver(
        peer, Attach(request_id="r", attempt=1, index=0, incarnation="l~0")
    )
    assert [end.fault.not_run for end in peer.of_kind(End)] == [False]


def test_ready_process_takes_over():
    endpoint, peer = make_endpoint(), FakePeer()
    refuse_early_calls(endpoint)
    taken = []
    endpoint.handle(Submit, lambda peer, entry: taken.append(entry), replace=True)
    endpoint._deliver(peer, make_submit())
    assert len(taken) == 1
    assert peer.of_kind(End) == []
