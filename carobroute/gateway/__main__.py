"""Run a gateway as `python -m carobroute.gateway`."""

import sys

from carobroute.errors import FaultError
from carobroute.gateway import GatewayProcess, load_or_raise, settings_path
from carobroute.platform import SETTINGS_VARIABLE
from carobroute.utils import run_event_loop

EXIT_SETTINGS = 2


async def _serve() -> None:
    path = settings_path(SETTINGS_VARIABLE)
    await GatewayProcess(settings_path=path, settings=load_or_raise(path)).run()


def main() -> int:
    """Run until told to stop, and return the exit status."""
    try:
        run_event_loop(_serve())
    except (FaultError, KeyError) as error:
        print(f"carobroute gateway: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
