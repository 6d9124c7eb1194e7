"""Check of plain data against a struct type that reports every fault at once."""

import difflib
import types
import typing
from typing import Any

import msgspec
import msgspec.inspect

MAX_SHOWN = 80

_LIMITS = {
    "gt": "above",
    "ge": "at least",
    "lt": "below",
    "le": "at most",
    "min_length": "of at least length",
    "max_length": "of at most length",
    "pattern": "matching",
}


class SettingFault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault in a file.

    Parameters
    ----------
    path : str
        Where in the file, as `section.key` or `list[0].key`.
    got, expected : str
        What stands there and what should.
    hint : str
        Advice, or empty.
    """

    path: str
    got: str
    expected: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f"; {self.hint}" if self.hint else ""
        return f"{self.path}: got {self.got}, expected {self.expected}{hint}"


def check_value(value: Any, kind: Any, path: str = "") -> list[SettingFault]:
    """Return every fault of `value` against the type `kind`.

    Parameters
    ----------
    value : object
        Plain data, as a YAML or JSON reader gives it.
    kind : type
        msgspec struct type, or a type that a struct's field may have.
    path : str, default=""
        Path of `value` in its file.

    Examples
    --------
    >>> class Point(msgspec.Struct, forbid_unknown_fields=True):
    ...     north: int
    ...     east: int
    >>> for fault in check_value({"nort": 1, "east": "x"}, Point):
    ...     print(fault)
    nort: got an unknown key, expected one of north, east; did you mean 'north'?
    north: got nothing, expected int
    east: got 'x', expected int
    """
    members = _members(kind)
    if value is None and type(None) in members:
        return []
    structs = [member for member in members if _is_struct(member)]
    if len(structs) == 1:
        return _check_struct(value, structs[0], path)
    if structs:
        return _check_tagged(value, structs, path)
    if typing.get_origin(kind) is list and isinstance(value, list):
        (item,) = typing.get_args(kind)
        return [
            fault
            for index, entry in enumerate(value)
            for fault in check_value(entry, item, f"{path}[{index}]")
        ]
    return _check_leaf(value, kind, path)


def _members(kind: Any) -> tuple:
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return typing.get_args(kind)
    return (kind,)


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _check_tagged(value: Any, structs: list, path: str) -> list[SettingFault]:
    """Check `value` against the struct that its tag names."""
    field = structs[0].__struct_config__.tag_field
    by_tag = {struct.__struct_config__.tag: struct for struct in structs}
    if not isinstance(value, dict):
        return [_fault(path, value, f"a mapping with {field!r}")]
    tag = value.get(field)
    if isinstance(tag, str) and tag in by_tag:
        return _check_struct(value, by_tag[tag], path)
    names = sorted(by_tag)
    return [
        SettingFault(
            path=_join(path, field),
            got=_show(tag) if field in value else "nothing",
            expected=f"one of {', '.join(names)}",
            hint=_suggest(str(tag), names),
        )
    ]


def _check_struct(value: Any, kind: Any, path: str) -> list[SettingFault]:
    if not isinstance(value, dict):
        return [_fault(path, value, "a mapping")]
    fields = {entry.encode_name: entry for entry in msgspec.structs.fields(kind)}
    tag_field = kind.__struct_config__.tag_field
    faults = [
        _unknown_key(key, list(fields), path)
        for key in value
        if key not in fields and (tag_field is None or key != tag_field)
    ]
    for name, entry in fields.items():
        at = _join(path, name)
        if name in value:
            faults += check_value(value[name], entry.type, at)
        elif entry.required:
            expected = _describe(entry.type)
            faults.append(SettingFault(path=at, got="nothing", expected=expected))
    return faults


def _unknown_key(key: Any, known: list[str], path: str) -> SettingFault:
    return SettingFault(
        path=_join(path, str(key)[:MAX_SHOWN]),
        got="an unknown key",
        expected=f"one of {', '.join(known)}",
        hint=_suggest(str(key), known),
    )


def _check_leaf(value: Any, kind: Any, path: str) -> list[SettingFault]:
    try:
        msgspec.convert(value, kind)
    except (msgspec.ValidationError, OverflowError):
        return [_fault(path, value, _describe(kind))]
    return []


def _describe(kind: Any) -> str:
    if _is_struct(kind):
        return "a mapping"
    info = msgspec.inspect.type_info(kind)
    if isinstance(info, msgspec.inspect.EnumType):
        return "one of " + ", ".join(str(entry.value) for entry in info.cls)
    if isinstance(info, msgspec.inspect.LiteralType):
        return "one of " + ", ".join(str(entry) for entry in info.values)
    name = type(info).__name__.removesuffix("Type").lower()
    limits = [
        f"{text} {getattr(info, attribute)}"
        for attribute, text in _LIMITS.items()
        if getattr(info, attribute, None) is not None
    ]
    return " ".join([name, *limits])


def _fault(path: str, value: Any, expected: str) -> SettingFault:
    return SettingFault(path=path or "the file", got=_show(value), expected=expected)


def _show(value: Any) -> str:
    shown = repr(value)
    return shown if len(shown) <= MAX_SHOWN else shown[:MAX_SHOWN] + "..."


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _suggest(got: str, expected: list[str]) -> str:
    close = difflib.get_close_matches(got[:MAX_SHOWN], expected, n=1)
    return f"did you mean {close[0]!r}?" if close else ""
