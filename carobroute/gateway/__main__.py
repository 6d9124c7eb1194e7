"""Run a gateway as `python -m carobroute.gateway`."""

import sys

from carobroute.errors import FaultError
from carobroute.gateway import (
    GatewayProcess,
    load_process_settings,
    settings_path_from_environment,
)
from carobroute.platform import SETTINGS_VARIABLE
from carobroute.utils import exit_process, run_event_loop

EXIT_BAD_SETTINGS = 2


async def _serve() -> None:
    path = settings_path_from_environment(SETTINGS_VARIABLE)
    await GatewayProcess(settings_path=path, settings=load_process_settings(path)).run()


def main() -> int:
    """Run until a stop signal, and return the exit status."""
    try:
        run_event_loop(_serve())
    except (FaultError, KeyError) as error:
        print(f"carobroute gateway: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0


if __name__ == "__main__":
    exit_process(main())
