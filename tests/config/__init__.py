"""Tests of `swiftdeck/config`."""
