"""Tests of `swiftdeck/http`."""
