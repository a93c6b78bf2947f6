"""Tests of `swiftdeck/disk`."""
