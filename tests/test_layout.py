"""Tests of what may import what."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "swiftdeck"
FORBIDDEN = ("unittest", "swiftdeck.sim", "swiftdeck.bench", "swiftdeck.soak")
FREE = ("sim/", "bench/", "soak/", "programs/bench.py")
OF_SOAK = ("soak/", "programs/bench.py")
STARTERS = ("bench/fleet.py", "soak/processes.py")
STARTING = (
    "subprocess",
    "pty",
    "os.system",
    "os.popen",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.posix_spawnp",
    "asyncio.subprocess",
    "asyncio.create_subprocess_exec",
    "asyncio.create_subprocess_shell",
)
LOOP_STARTING = ("subprocess_exec", "subprocess_shell")


def starts_processes(text):
    """Names in the text of a module by which it could start another process."""
    found = imported(text) & set(STARTING)
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Attribute):
            continue
        if node.attr in LOOP_STARTING:
            found.add(node.attr)
        if isinstance(node.value, ast.Name):
            found |= {f"{node.value.id}.{node.attr}"} & set(STARTING)
    return found


def forbidden(text, package="swiftdeck", wrong=FORBIDDEN):
    """Modules for tests and the bench that the text of a module of a package imports."""
    return {
        each
        for name in imported(text, package)
        for each in wrong
        if name == each or name.startswith(f"{each}.")
    }


def imported(text, package="swiftdeck"):
    """Names that the text of a module of a package imports."""
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
        found |= set(names)
    return found


def modules():
    """The name, the package and the text of each module."""
    for path in sorted(PACKAGE.rglob("*.py")):
        package = ".".join(["swiftdeck", *path.relative_to(PACKAGE).parts[:-1]])
        yield path.relative_to(PACKAGE).as_posix(), package, path.read_text()


class LayoutTest(unittest.TestCase):
    def test_no_module_of_the_system_imports_tests_the_simulator_or_the_bench(self):
        found, count = {}, 0
        for name, package, text in modules():
            if name.startswith(FREE):
                continue
            count += 1
            wrong = forbidden(text, package)
            if wrong:
                found[name] = sorted(wrong)
        self.assertEqual(found, {})
        self.assertGreater(count, 40)

    def test_simulator_and_bench_do_not_import_the_soak(self):
        found = {
            name: sorted(wrong)
            for name, package, text in modules()
            if not name.startswith(OF_SOAK)
            and (wrong := forbidden(text, package, ("swiftdeck.soak",)))
        }
        self.assertEqual(found, {})

    def test_the_soak_does_not_import_tests_or_the_simulator(self):
        found = {
            name: sorted(wrong)
            for name, package, text in modules()
            if name.startswith("soak/")
            and (wrong := forbidden(text, package, ("unittest", "tests", "swiftdeck.sim")))
        }
        self.assertEqual(found, {})

    def test_processes_are_started_by_the_fleet_and_the_soak_alone(self):
        found = {
            name: sorted(wrong) for name, _, text in modules() if (wrong := starts_processes(text))
        }
        self.assertEqual(set(found), set(STARTERS), found)

    def test_planted_starts_of_processes_are_found(self):
        for text, name in [
            ("import subprocess", "subprocess"),
            ("from subprocess import Popen", "subprocess"),
            ("import os\nos.fork()", "os.fork"),
            ("from os import posix_spawn", "os.posix_spawn"),
            (
                "import asyncio\nasyncio.create_subprocess_exec('x')",
                "asyncio.create_subprocess_exec",
            ),
            ("from asyncio import create_subprocess_shell", "asyncio.create_subprocess_shell"),
            ("def f(loop):\n    loop.subprocess_exec(None, 'x')", "subprocess_exec"),
        ]:
            self.assertEqual(starts_processes(text), {name}, text)
        self.assertEqual(starts_processes("import os, asyncio\nos.kill(1, 2)"), set())

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
            ("from swiftdeck.soak.run import Soak", "swiftdeck.soak"),
            ("from ..soak import run", "swiftdeck.soak"),
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
