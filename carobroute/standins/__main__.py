"""Command line of the stand-ins."""

import typer

from carobroute.standins import load_stand_ins


def main() -> None:
    """Run the stand-in named on the command line."""
    command = typer.Typer(help="Stand-ins for development and tests.")
    registry = load_stand_ins()
    for name in sorted(registry):
        command.command(name)(registry.get(name))
    command()


if __name__ == "__main__":
    main()
