"""Tests of `swiftdeck/control`."""
