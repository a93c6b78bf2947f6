"""Tests of `swiftdeck/member`."""
