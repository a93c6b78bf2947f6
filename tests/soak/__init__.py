"""Tests of `swiftdeck/soak`."""
