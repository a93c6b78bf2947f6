"""Tests of `board/board.py`."""

import unittest

from swiftdeck.board.board import Board


class BoardTest(unittest.TestCase):
    def test_only_changes_are_logged(self):
        lines = []

        class Log:
            def info(self, event, **fields):
                lines.append((event, fields["now"]))

        board = Board(Log())
        for value in (1, 1, 2, 2, 1):
            board.put("health", value)
        self.assertEqual(lines, [("health", 1), ("health", 2), ("health", 1)])
