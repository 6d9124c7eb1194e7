"""Reading of settings files."""

from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from carobroute.domain import InstanceRole
from carobroute.settings._check import SettingFault, check_value
from carobroute.settings._schema import Settings
from carobroute.settings._yaml import parse_yaml

MAX_SETTINGS_CHARACTERS = 256 * 1024
MAX_SECRET_BYTES = 64 * 1024


class SettingsFault(msgspec.Struct, frozen=True, kw_only=True):
    """All faults of one settings file.

    Parameters
    ----------
    source : str
        Name of the file.
    faults : list of SettingFault
        Every fault, in the file's order.
    """

    source: str
    faults: list[SettingFault]

    def __str__(self) -> str:
        lines = [f"{self.source}: {len(self.faults)} fault(s)"]
        return "\n".join(lines + [f"  {fault}" for fault in self.faults])


def load_settings(path: str | Path) -> Result[Settings, SettingsFault]:
    """Return the settings in the file at `path`, or all its faults.

    Parameters
    ----------
    path : str or Path
        YAML file. Paths of files in it are relative to its directory.

    Returns
    -------
    settings : Result
        The settings, with absolute file paths, or a `SettingsFault`.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = SettingFault(path="the file", got=str(error), expected="a text file")
        return Failure(SettingsFault(source=str(path), faults=[fault]))
    return parse_settings(text, source=str(path), directory=path.resolve().parent)


def parse_settings(
    text: str, *, source: str = "settings", directory: Path | None = None
) -> Result[Settings, SettingsFault]:
    """Return the settings in `text`, or all its faults.

    Parameters
    ----------
    text : str
        YAML.
    source : str
        Name of the file in messages.
    directory : Path or None
        Directory that file paths are relative to; None leaves them unchecked.

    Examples
    --------
    >>> print(parse_settings("instance: {name: e1, role: entry}").failure())
    settings: 4 fault(s)
      instance.data_centre: got nothing, expected str matching ...
      instance.region: got nothing, expected str matching ...
      platform: got nothing, expected a mapping
      entry: got nothing, expected a mapping; required for role 'entry'
    """
    parsed = parse_yaml(text, most_characters=MAX_SETTINGS_CHARACTERS)
    if not isinstance(parsed, Success):
        fault = SettingFault(path="the file", got=parsed.failure(), expected="YAML")
        return Failure(SettingsFault(source=source, faults=[fault]))
    data = parsed.unwrap()
    faults = check_value(data, Settings) + _check_role(data)
    if directory is not None:
        faults += _check_files(data, directory, "")
    if faults:
        return Failure(SettingsFault(source=source, faults=faults))
    return Success(msgspec.convert(data, Settings))


def read_secret(path: str | Path) -> Result[list[str], SettingFault]:
    """Return the lines of a secret file, without blank lines and comments."""
    try:
        data = Path(path).read_bytes()
        lines = data[:MAX_SECRET_BYTES].decode().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        got = f"{type(error).__name__} for {path}"
        return Failure(
            SettingFault(path="secret file", got=got, expected="a text file")
        )
    kept = [line.strip() for line in lines]
    return Success([line for line in kept if line and not line.startswith("#")])


def _check_role(data: Any) -> list[SettingFault]:
    """Each role has its own section and none of the other's."""
    if not isinstance(data, dict) or not isinstance(data.get("instance"), dict):
        return []
    role = data["instance"].get("role")
    faults = []
    for name in InstanceRole:
        present = data.get(name.value) is not None
        if role == name.value and not present:
            faults.append(
                SettingFault(
                    path=name.value,
                    got="nothing",
                    expected="a mapping",
                    hint=f"required for role {role!r}",
                )
            )
        elif present and role in list(InstanceRole) and role != name.value:
            faults.append(
                SettingFault(
                    path=name.value,
                    got="a section",
                    expected="none",
                    hint=f"role is {role!r}",
                )
            )
    return faults + _check_tls(data.get("entry"))


def _check_tls(entry: Any) -> list[SettingFault]:
    if not isinstance(entry, dict):
        return []
    names = ["tls_certificate_file", "tls_key_file"]
    given = [name for name in names if entry.get(name)]
    if len(given) != 1:
        return []
    (missing,) = set(names) - set(given)
    return [
        SettingFault(
            path=f"entry.{missing}",
            got="nothing",
            expected="a file",
            hint=f"{given[0]} is set, and TLS needs both",
        )
    ]


def _check_files(data: Any, directory: Path, path: str) -> list[SettingFault]:
    """Make file paths absolute in place and report those that do not exist."""
    if not isinstance(data, dict):
        return []
    faults = []
    for key, value in data.items():
        at = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            faults += _check_files(value, directory, at)
        elif key.endswith(("_file", "_directory")) and isinstance(value, str) and value:
            faults += _check_file(data, key, directory / value, at)
    return faults


def _check_file(data: dict, key: str, file: Path, at: str) -> list[SettingFault]:
    wanted = "directory" if key.endswith("_directory") else "file"
    try:
        found = file.is_dir() if wanted == "directory" else file.is_file()
    except (OSError, ValueError):
        found = False
    if found and key.endswith("token_file") and not read_secret(file).value_or([]):
        got = "a file without a token"
        return [SettingFault(path=at, got=got, expected="one token a line")]
    if found:
        data[key] = str(file)
        return []
    return [
        SettingFault(
            path=at, got=repr(data[key])[:200], expected=f"an existing {wanted}"
        )
    ]
