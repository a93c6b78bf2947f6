"""Tests of `swiftdeck/wire`."""
