"""Tests of `traffic/books.py`."""

import unittest

from swiftdeck.traffic.book import Conversation
from swiftdeck.traffic.books import Books


class BooksTest(unittest.TestCase):
    def testNothingIsRememberedOfAConversationThatIsOver(self):
        from swiftdeck.board.board import Board
        from swiftdeck.sim.world import World
        from swiftdeck.traffic.decisions import Decisions

        world, seen = World(), []

        class Alone:
            def config(self):
                return None

        async def main():
            books = Books(Alone(), Board(), Decisions(lambda: 0.0))
            conversation = Conversation("c", "t", "shared", "w", "w1")
            books.open(conversation)
            for turn in range(20):
                books.remember(conversation, b"%d" % turn)
            seen.append(len(books.byLast))
            books.close(conversation, "idle")
            seen.append((books.byLast, books.conversations, books.of("w").open))

        world.start("a", "10.0.0.1", main)
        world.run(1)
        self.assertEqual(seen, [4, ({}, {}, {})])
