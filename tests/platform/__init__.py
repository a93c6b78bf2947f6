"""Tests of `swiftdeck/platform`."""
