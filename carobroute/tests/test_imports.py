"""Modules that import each other in a circle can't be understood or moved alone."""

import ast
import graphlib
from pathlib import Path

import carobroute

ROOT = Path(carobroute.__file__).parent


def find_modules():
    """Return the path of each module of the package, by name, without tests."""
    paths = {}
    for path in ROOT.rglob("*.py"):
        parts = ("carobroute", *path.relative_to(ROOT).with_suffix("").parts)
        if "tests" in parts:
            continue
        paths[".".join(parts).removesuffix(".__init__")] = path
    return paths


def find_imports(path, modules):
    """Return the package's modules that a module imports, for types alone too."""
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                imported.add(name if name in modules else node.module)
    return imported & modules.keys()


def test_no_modules_import_each_other():
    modules = find_modules()
    assert len(modules) > 200
    graph = {name: find_imports(path, modules) for name, path in modules.items()}
    # Raises a CycleError that names the circle.
    graphlib.TopologicalSorter(graph).prepare()
