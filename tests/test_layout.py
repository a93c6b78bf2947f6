"""Tests of what may import what."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "swiftdeck"
FORBIDDEN = ("unittest", "swiftdeck.sim", "swiftdeck.bench")
FREE = ("sim/", "bench/", "programs/bench.py")


def forbidden(text, package="swiftdeck"):
    """Modules for tests and the bench that the text of a module of a package imports."""
    found = set()
    for node in ast.walk(ast.parse(text)):
        names = []
        if isinstance(node, ast.Import):
            names = [each.name for each in node.names]
        elif isinstance(node, ast.ImportFrom):
            above = (
                package.split(".")[: len(package.split(".")) - node.level + 1] if node.level else []
            )
            base = ".".join([*above, *([node.module] if node.module else [])])
            names = [base, *(f"{base}.{each.name}" for each in node.names)]
        found |= {
            wrong
            for name in names
            for wrong in FORBIDDEN
            if name == wrong or name.startswith(f"{wrong}.")
        }
    return found


class LayoutTest(unittest.TestCase):
    def test_no_module_of_the_system_imports_tests_the_simulator_or_the_bench(self):
        found, count = {}, 0
        for path in sorted(PACKAGE.rglob("*.py")):
            name = path.relative_to(PACKAGE).as_posix()
            if name.startswith(FREE):
                continue
            count += 1
            wrong = forbidden(
                path.read_text(), ".".join(["swiftdeck", *path.relative_to(PACKAGE).parts[:-1]])
            )
            if wrong:
                found[name] = sorted(wrong)
        self.assertEqual(found, {})
        self.assertGreater(count, 40)

    def test_planted_imports_are_found(self):
        for text, wrong in [
            ("import unittest", "unittest"),
            ("from unittest import mock", "unittest"),
            ("import unittest.mock as m", "unittest"),
            ("from swiftdeck.sim.world import World", "swiftdeck.sim"),
            ("from swiftdeck import sim", "swiftdeck.sim"),
            ("from ..sim import world", "swiftdeck.sim"),
            ("from .. import bench", "swiftdeck.bench"),
            ("import swiftdeck.bench.checker", "swiftdeck.bench"),
            ("def f():\n    from swiftdeck.bench import cache", "swiftdeck.bench"),
        ]:
            self.assertEqual(forbidden(text, "swiftdeck.http"), {wrong}, text)
        self.assertEqual(
            forbidden(
                "import swiftdeck.simple, unittests\nfrom swiftdeck.wire import sim",
                "swiftdeck.http",
            ),
            set(),
        )
