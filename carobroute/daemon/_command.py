"""The command `carobrouted`."""

from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from carobroute.daemon._entry import EntryDaemon
from carobroute.daemon._local import LocalDaemon
from carobroute.daemon._process import Process
from carobroute.domain import InstanceRole
from carobroute.platform import find_settings_faults
from carobroute.settings import Settings, load_settings
from carobroute.utils import exit_process, run_event_loop

EXIT_SETTINGS = 2

app = typer.Typer(
    name="carobrouted",
    help="Run one process of a carobroute fleet.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[
    Path, typer.Option("--settings", help="YAML file with this process's settings")
]


def main() -> None:
    """Run the command line."""
    app()


@app.command()
def entry(settings: SettingsFile) -> None:
    """Take callers' requests, route them and stream the answers back."""
    _run(EntryDaemon(settings=_load(settings, InstanceRole.ENTRY)))


@app.command()
def local(settings: SettingsFile) -> None:
    """Stand beside one target and be the only one that talks to it."""
    _run(LocalDaemon(settings=_load(settings, InstanceRole.LOCAL)))


@app.command()
def check(
    file: Annotated[
        Path, typer.Argument(help="YAML file with settings, or the platform's JSON")
    ],
) -> None:
    """Check a settings file as a whole and name every fault in it."""
    if file.suffix == ".json":
        _check_platform_settings(file)
        return
    loaded = load_settings(file)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    typer.echo(f"{file}: good settings for role {loaded.unwrap().instance.role.value}")


def _check_platform_settings(file: Path) -> None:
    try:
        faults = find_settings_faults(file.read_bytes())
    except OSError as error:
        faults = [str(error)]
    if faults:
        typer.echo("\n".join(f"{file}: {fault}" for fault in faults), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    typer.echo(f"{file}: good settings for a gateway")


def _run(process: Process) -> None:
    run_event_loop(process.run())
    exit_process(0)


def _load(path: Path, role: InstanceRole) -> Settings:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    settings = loaded.unwrap()
    if settings.instance.role is not role:
        typer.echo(
            f"{path}: instance.role is {settings.instance.role.value!r}, expected"
            f" {role.value!r}",
            err=True,
        )
        raise typer.Exit(EXIT_SETTINGS)
    return settings
