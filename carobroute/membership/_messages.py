"""Messages about instances between processes."""

from carobroute.domain import Instance
from carobroute.links import Message, message


@message
class InstanceNews(Message, tag="instance_news"):
    """Instances that came, changed or began to leave.

    Parameters
    ----------
    instances : list of Instance
        Their newest state as the sender knows it.
    """

    instances: list[Instance]


@message
class InstanceDigest(Message, tag="instance_digest"):
    """Hashes of the instances that the sender knows.

    Parameters
    ----------
    hashes : list of int
        One for each bucket of names.
    answered : bool
        Whether this answers a digest, so that it is not answered again.
    """

    hashes: list[int]
    answered: bool = False


@message
class SuspicionNews(Message, tag="suspicion_news"):
    """What the sender itself observed of its neighbours.

    Parameters
    ----------
    observer : str
        Incarnation that observed.
    sequence : int
        Number of its report, so that each is passed on once.
    silent : list of str
        Incarnations that it calls without an answer.
    heard : list of str
        Incarnations that it hears again, or that others suspect and it hears.
    """

    observer: str
    sequence: int
    silent: list[str]
    heard: list[str]
