"""Tests of the deploy file."""

import re
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


def described_packages() -> list[str]:
    """The first column of the table of system packages in docs/platform.md."""
    section = (
        (ROOT / "docs/platform.md").read_text().split("## System packages")[1].split("\n## ")[0]
    )
    return re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE)


def versions(path: str) -> dict[str, str]:
    """The pinned version of each library that a list names."""
    lines = (ROOT / path).read_text().splitlines()
    return dict(line.strip().split("==") for line in lines if line.strip())


class DeployTest(unittest.TestCase):
    """What the deploy file says, against the pages and the project file."""

    def setUp(self):
        """Reads the deploy file."""
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    def test_packages_are_sorted_names_without_repeats(self):
        """Names of Debian packages, each once, in order."""
        packages = self.deploy["packages"]
        self.assertEqual(sorted(set(packages)), packages)
        self.assertTrue(all(PACKAGE_NAME.fullmatch(each) for each in packages))

    def test_docs_explain_every_package_of_the_deploy_file(self):
        """The table of the docs and the list of the deploy file are equal."""
        self.assertEqual(self.deploy["packages"], described_packages())

    def test_what_the_build_and_the_programs_call_is_among_the_packages(self):
        """The build line and each role run the interpreter; the build line runs pip."""
        packages = self.deploy["packages"]
        self.assertIn("python3 -m pip", self.deploy["build"])
        self.assertIn("python3-pip", packages)
        for role in self.deploy["roles"].values():
            self.assertIn(role["run"].split()[0], packages)

    def test_the_programs_get_the_versions_that_the_project_declares(self):
        """The build installs pinned libraries: the declared ones but for the command line's."""
        declared, installed = versions("requirements.txt"), versions("deploy/requirements.txt")
        self.assertIn("--no-deps --target target/deps -r deploy/req", self.deploy["build"])
        self.assertEqual(
            {name: installed.get(name) for name in declared if name != "typer"},
            {name: version for name, version in declared.items() if name != "typer"},
        )
