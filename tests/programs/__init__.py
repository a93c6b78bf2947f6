"""Tests of `swiftdeck/programs`."""
