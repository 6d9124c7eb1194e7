"""YAML reading that refuses what can surprise or grow: aliases, repeated keys."""

from typing import Any, NoReturn

import yaml
from returns.result import Failure, Result, Success

MAX_CHARACTERS = 4 * 1024 * 1024
MAX_DEPTH = 40


class _Loader(yaml.SafeLoader):
    """Safe loader without aliases, repeated keys and deep nesting."""

    def __init__(self, stream):
        super().__init__(stream)
        self._depth = 0

    @staticmethod
    def _refuse(problem: str, place: Any) -> NoReturn:
        raise yaml.MarkedYAMLError(problem=problem, problem_mark=place.start_mark)

    def compose_node(self, parent, index):
        event = self.peek_event()  # type: ignore[no-untyped-call]
        if isinstance(event, yaml.AliasEvent):
            self._refuse("aliases are not accepted", event)
        self._depth += 1
        if self._depth > MAX_DEPTH:
            self._refuse(f"nested deeper than {MAX_DEPTH} levels", event)
        node = super().compose_node(parent, index)  # type: ignore[no-untyped-call]
        self._depth -= 1
        return node

    def construct_mapping(self, node, deep=False):
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        seen = set()
        for (key_node, _), key in zip(node.value, keys, strict=True):
            if not isinstance(key, str):
                self._refuse(f"key {key!r} must be a string", key_node)
            if key in seen:
                self._refuse(f"key {key!r} appears more than once", key_node)
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def parse_yaml(text: str, *, most_characters: int = MAX_CHARACTERS) -> Result[Any, str]:
    """Return the one document in `text`, or what is wrong with it.

    Examples
    --------
    >>> parse_yaml("a: 1").unwrap()
    {'a': 1}
    >>> parse_yaml("a: 1\\na: 2").failure()
    "line 2, column 1: key 'a' appears more than once"
    """
    if len(text) > most_characters:
        return Failure(
            f"got {len(text)} characters, expected at most {most_characters}"
        )
    try:
        return Success(yaml.load(text, Loader=_Loader))
    except yaml.MarkedYAMLError as error:
        return Failure(_describe(error))
    except (yaml.YAMLError, ValueError, OverflowError, RecursionError) as error:
        return Failure(f"not readable as YAML: {str(error).splitlines()[0]}")


def _describe(error: yaml.MarkedYAMLError) -> str:
    problem = error.problem or error.context or "not readable as YAML"
    mark = error.problem_mark or error.context_mark
    if mark is None:
        return problem
    return f"line {mark.line + 1}, column {mark.column + 1}: {problem}"
