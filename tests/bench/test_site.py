"""Tests of `bench/site.py`."""

import unittest

from swiftdeck.bench.site import plan_site
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import Document
from swiftdeck.fault import is_fault


class SiteTest(unittest.TestCase):
    def test_both_sites_have_sound_configurations(self):
        import msgspec

        for name, workers in (("hinokuni", 6), ("serraria", 9)):
            site = plan_site(name)
            self.assertEqual(
                (len(site.workers), len(site.routers), len(site.keys)), (workers, 9, 8)
            )
            document = Configuration.read(msgspec.json.encode(site.document()))
            self.assertFalse(is_fault(document))
            self.assertIsInstance(document.document, Document)
