"""Tests of `swiftdeck/bench`."""
