"""Tests of `member/news.py`."""

import unittest

from swiftdeck.member.news import NewsTable


class NewsTest(unittest.TestCase):
    def test_the_higher_stamp_wins_and_a_missed_item_is_resent(self):
        from tests.member.test_membership import MembershipTest

        world, memberships, _ = MembershipTest.build(self, 5)
        tables = {}

        def start_table(number):
            async def main():
                tables[number] = NewsTable(memberships[number].mesh, memberships[number])
                tables[number].start()

            return main

        world.run(3)
        for number in range(5):
            world.run_task(f"n{number}", start_table(number))
        world.net.cut(["10.0.0.5"], [f"10.0.0.{host}" for host in range(1, 5)])

        async def post():
            tables[0].post("view", 2, b"two")
            tables[0].post("view", 1, b"one")

        world.run_task("n0", post)
        world.run(1)
        self.assertEqual(
            [table.items["view"].body for table in list(tables.values())[:4]], [b"two"] * 4
        )
        self.assertNotIn("view", tables[4].items)
        world.net.heal()
        world.run(12)
        self.assertEqual(tables[4].items["view"].body, b"two")
