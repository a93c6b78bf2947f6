"""Tests of the model of the control side."""
