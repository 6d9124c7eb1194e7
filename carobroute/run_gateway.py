"""Run a gateway as `python -m carobroute.run_gateway`.

SIGHUP ends a process that has no handler for it yet, and the imports of a gateway take
most of its start. So the signal waits until the handler is there.
"""

import runpy
import signal

if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    runpy.run_module("carobroute.gateway", run_name="__main__")
