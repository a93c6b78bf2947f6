"""Tests of `wire/messages`."""

import unittest

from swiftdeck.wire.messages import Member, Probe


class MessagesTest(unittest.TestCase):
    def test_a_message_survives_encoding_and_parsing(self):
        sent = Probe(
            sender=Member(addr="a:1", incarnation=7),
            serial=3,
            about=[Member(name="x"), Member(name="y")],
        )
        parsed = Probe().parse(bytes(sent))
        self.assertEqual(
            (parsed.sender.incarnation, parsed.serial, [member.name for member in parsed.about]),
            (7, 3, ["x", "y"]),
        )
