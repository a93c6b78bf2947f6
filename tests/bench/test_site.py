"""Tests of `bench/site.py`."""

import unittest

from swiftdeck.bench.site import planSite
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import Document
from swiftdeck.fault import isFault


class SiteTest(unittest.TestCase):
    def testBothSitesHaveSoundConfigurations(self):
        import msgspec

        for name, workers in (("hinokuni", 6), ("serraria", 9)):
            site = planSite(name)
            self.assertEqual(
                (len(site.workers), len(site.routers), len(site.keys)), (workers, 9, 8)
            )
            document = Configuration.read(msgspec.json.encode(site.document()))
            self.assertFalse(isFault(document))
            self.assertIsInstance(document.document, Document)
