"""Tests of `swiftdeck/runtime`."""
