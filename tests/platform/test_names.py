"""Tests that the platform's names occur only in the adapter and the bench."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent.parent / "swiftdeck"
EXEMPT = ("platform/", "bench/")
NAME_PATTERNS = (
    r"(?i:swiftdeck-(?:request|server|expected|model|token|prompt|time|tenant|urgency|cache|not-run|worker|weight))",
    r"/swiftdeck/",
    "app-servers",
    "api-keys",
    '"customers"',
    "'customers'",
    "kv-events",
    "kv-list",
    "version-put",
    "server-state",
    "warmup-left-ms",
    "page-token",
    "next-token",
    "path-start",
    "route-type",
    "traffic-split",
    "gap-target-ms",
    "retry-ratio",
    "extra-retries",
    "retry-window-s",
    "thaw-slack-ms",
    "contact-ms",
    "drain-ms",
    "grace-s",
    "platform-api",
    "listen-addresses",
    "seed-addresses",
    "max-header-bytes",
    "cache-store",
    "call-count",
    "expected-count",
    "put-items",
    "remove-names",
    r"If-Match|if-match",
    "Wait-Ms|wait-ms",
    "SWIFTDECK_CONFIG",
)
NAMES = re.compile("|".join(NAME_PATTERNS))


def find_names(text):
    """Return the platform's names that occur in a text."""
    return sorted(set(NAMES.findall(text)))


class NamesTest(unittest.TestCase):
    def test_platform_names_occur_only_in_the_adapter(self):
        texts = {
            path.relative_to(PACKAGE).as_posix(): path.read_text()
            for path in sorted(PACKAGE.rglob("*.py"))
        }
        found = {
            name: find_names(text) for name, text in texts.items() if not name.startswith(EXEMPT)
        }
        self.assertEqual({name: names for name, names in found.items() if names}, {})
        self.assertGreater(len(found), 60)
        adapter = "".join(text for name, text in texts.items() if name.startswith("platform/"))
        adapter += adapter.replace("_", "-")  # fields are renamed to kebab case
        unused = [each for each in NAME_PATTERNS if not re.search(each, adapter)]
        self.assertEqual(unused, ["'customers'", "kv-list"])

    def test_sample_names_are_found(self):
        for text in (
            'b"swiftdeck-request-id"',
            '"Swiftdeck-Tenant"',
            'path == "/swiftdeck/ready"',
            'x["app-servers"]',
            '"customers"',
            '"kv-events"',
            'rename="server-state"',
            '"retry-ratio"',
        ):
            self.assertTrue(find_names(text), text)
        for text in (
            "from swiftdeck.gateway import swap",
            "swiftdeck-bench",
            "customers wait",
            "SWIFTDECK_LOG",
        ):
            self.assertEqual(find_names(text), [], text)
