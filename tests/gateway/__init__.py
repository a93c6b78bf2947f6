"""Tests of `swiftdeck/gateway`."""
