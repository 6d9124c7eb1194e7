"""Settings of the log, a section of the settings of a process."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta


class LogSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Events on standard error.

    Parameters
    ----------
    level : {'debug', 'info', 'warning', 'error'}
        Lowest level written.
    most_per_s : float
        Events of one name written a second; the rest are counted.
    decisions : int
        Decisions kept for `carobroute explain`.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    most_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 20.0
    decisions: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
