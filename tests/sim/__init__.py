"""Tests of `swiftdeck/sim`."""
