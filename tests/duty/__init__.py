"""Tests of `swiftdeck/duty`."""
