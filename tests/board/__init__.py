"""Tests of `swiftdeck/board`."""
