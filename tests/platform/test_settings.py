"""Tests of the platform's settings file."""

import tempfile
import unittest
from pathlib import Path

from swiftdeck.fault import BAD_SETTING, is_fault
from swiftdeck.platform.settings import SettingsWatch, read_settings

ROUTER = """
node-name = "node-3"
ip = "10.0.0.3"
zone = "galpao-norte"
internal-ports = [7000, 7001]
seed-addresses = ["10.0.0.10:8080", "10.0.0.11:8081"]
[platform-api]
address = "10.0.0.99:80"
rate-per-s = 8
[listen-addresses]
front = "10.0.0.3:8080"
readiness = "10.0.0.3:8081"
[bounds]
grace-s = 8
retry-ratio = 0.25
retry-window-s = 10
extra-retries = 58
lease-ms = 3000
thaw-slack-ms = 300
version-ms = 8000
"""
CORE = ROUTER.replace("front =", "control =").replace(
    'node-name = "node-3"', 'node-name = "node-3"\ndata-dir = "/data"'
)


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"

    def read(self, text, role="router"):
        self.path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return read_settings(role, str(self.path))

    def test_a_router(self):
        platform_settings = self.read(ROUTER)
        settings = platform_settings.settings
        self.assertEqual(
            (settings.name, settings.inner, settings.http, settings.zone, settings.dataFolder),
            ("node-3", "10.0.0.3:7000", "10.0.0.3:8080", "galpao-norte", ""),
        )
        self.assertEqual(settings.seeds, ["10.0.0.10:7000", "10.0.0.11:7000"])
        self.assertEqual(
            (platform_settings.settings.opsHttp, platform_settings.list_addr),
            ("10.0.0.3:8081", "10.0.0.99:80"),
        )
        self.assertEqual(
            (
                settings.budgetShare,
                settings.budgetExtra,
                settings.budgetWindowMs,
                settings.orderLeaseMs,
            ),
            (0.25, 58, 10000, 3300),
        )
        self.assertLess(settings.stopMs, 8000)
        self.assertLess(settings.oldWeightsMs, 8000)

    def test_a_core(self):
        settings = self.read(CORE, "core").settings
        self.assertEqual((settings.http, settings.dataFolder), ("10.0.0.3:8080", "/data"))
        self.assertEqual(self.read(CORE).settings.dataFolder, "")

    def test_unknown_fields_are_ignored(self):
        more = ROUTER + "\n[novel]\na = 1\n[tolerate]\nmachines = 1\nnovel = [1]\n"
        self.assertEqual(
            self.read(more.replace("[bounds]", "[bounds]\nnovel-ms = 3")).settings,
            self.read(ROUTER).settings,
        )

    def assert_bad(self, result):
        self.assertTrue(is_fault(result) and result.code == BAD_SETTING.code, result)

    def test_a_missing_file(self):
        self.assert_bad(read_settings("router", str(self.path)))

    def test_invalid_toml(self):
        for text in ("node-name = ", "[[[", b"\xff\xfe"):
            self.assert_bad(self.read(text))

    def test_missing_fields(self):
        for line in ROUTER.strip().splitlines()[:5] + ['address = "10.0.0.99:80"']:
            self.assert_bad(self.read(ROUTER.replace(line, "")))

    def test_values_of_the_wrong_type_or_out_of_range(self):
        for old, new in (
            ('"node-3"', "{}"),
            ("[7000, 7001]", '["x"]'),
            ("[7000, 7001]", "[]"),
            ("[7000, 7001]", "[99999]"),
            ('"10.0.0.3"', '"nowhere"'),
            ('["10.0.0.10:8080", "10.0.0.11:8081"]', "3"),
            ('["10.0.0.10:8080", "10.0.0.11:8081"]', '["nowhere"]'),
            ("retry-ratio = 0.25", 'retry-ratio = "much"'),
            ("retry-ratio = 0.25", "retry-ratio = -1"),
            ('"node-3"', '""'),
            ('"10.0.0.3:8080"', '"10.0.0.3:7000"'),
        ):
            self.assert_bad(self.read(ROUTER.replace(old, new)))

    def test_a_watch_reports_each_change_once(self):
        self.read(ROUTER)
        watch = SettingsWatch(str(self.path))
        self.assertFalse(watch.has_changed())
        self.read(CORE)
        self.assertEqual([watch.has_changed(), watch.has_changed()], [True, False])
        self.path.unlink()
        self.assertEqual([watch.has_changed(), watch.has_changed()], [True, False])
