"""Stand-ins for the platform, engines and services, for development and tests.

Each module of this package whose name begins with an underscore is imported by
`load_stand_ins` and may register commands in `stand_ins`. Run one as
`python -m carobroute.standins NAME`.
"""

from carobroute.standins._command import load_stand_ins, serve, stand_ins

__all__ = ["load_stand_ins", "serve", "stand_ins"]
