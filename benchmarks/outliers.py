"""Calls that fail because some targets answer badly, by the way to choose targets.

Runs gateways and targets in virtual time, without a network.
"""

import argparse

from carobroute.testing.outlier_fleet_data import (
    DEFAULT_SEED,
    DISPATCHERS,
    FLEETS,
    PATTERNS,
    play_pattern,
)


def main() -> None:
    """Print the calls that fail and the mean first byte for each pattern."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*", default=list(PATTERNS))
    parser.add_argument("--gateways", type=int, nargs="*", default=list(FLEETS))
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--quick", action="store_true", help="the smallest fleet only")
    arguments = parser.parse_args()
    gateway_counts = [min(FLEETS)] if arguments.quick else arguments.gateways
    print("unserved calls / mean first byte of the others, ms")
    print("| gateways | pattern | calls |", " | ".join(DISPATCHERS), "|")
    print("|---" * (3 + len(DISPATCHERS)) + "|")
    for gateway_count in gateway_counts:
        for name in arguments.patterns:
            outcomes = [
                play_pattern(name, policy, gateway_count, seed=arguments.seed)
                for policy in DISPATCHERS
            ]
            cells = [
                f"{outcome.unserved_count} / {outcome.mean_first_byte_ms:.0f}"
                for outcome in outcomes
            ]
            row = [str(gateway_count), name, str(outcomes[0].call_count), *cells]
            print("|", " | ".join(row), "|", flush=True)


if __name__ == "__main__":
    main()
