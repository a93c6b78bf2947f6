"""Tests of the filter that cuts links between processes."""

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.soak.addresses import FILTER_PORT
from swiftdeck.soak.link_filter import CUT_EXPIRY_S, MAX_LATE_S, Cut, LinkFilter
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import ConfigAsk, Done
from tests.gateway.parts import SimCase

HERE, THERE = "10.0.0.1:7000", "10.0.0.2:7000"


class LinkFilterTest(SimCase):
    def setUp(self):
        super().setUp()
        self.received = 0
        self.here = self.within(lambda: Mesh(HERE), "here")
        self.there = self.within(lambda: Mesh(THERE), "there")
        self.there.register(ConfigAsk, self.on_ask)
        self.filter = LinkFilter(self.there, ("10.0.0.2", FILTER_PORT)).install()
        self.do(self.here.start, "here")
        self.do(self.there.start, "there")
        self.assertTrue(self.is_answered())

    def on_ask(self, message, sender):
        self.received += 1
        return Done()

    def is_answered(self):
        return not is_fault(self.do(lambda: self.here.request(THERE, ConfigAsk(), 300)))

    def cut(self, *senders, is_late=False):
        self.within(lambda: self.filter.apply(Cut(list(senders), is_late)), "there")
        self.world.run(0.1)

    def send(self, action):
        self.within(action)
        self.world.run(0.1)

    def test_messages_across_a_cut_are_not_received(self):
        self.cut(HERE)
        self.assertFalse(self.is_answered())
        self.assertFalse(self.is_answered())
        self.assertEqual(self.received, 1)
        self.cut()
        self.assertTrue(self.is_answered())

    def test_messages_of_other_senders_are_received(self):
        self.cut("10.0.0.3:7000")
        self.assertTrue(self.is_answered())

    def test_held_messages_arrive_late_and_in_order(self):
        self.cut(HERE, is_late=True)
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        self.assertEqual(self.received, 1)
        self.cut()
        self.assertEqual(self.received, 3)
        self.assertTrue(self.is_answered())

    def test_single_messages_arrive_late_and_their_links_stay_open(self):
        self.within(lambda: self.filter.apply(Cut(late_share=1.0)), "there")
        self.filter.rng.random = lambda: 0.99 if self.here.serial % 2 else 0.0
        self.filter.rng.uniform = lambda least, most: most
        received = self.received
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        self.here.serial += 1
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        in_time = self.received - received
        self.within(lambda: self.filter.apply(Cut()), "there")
        self.world.run(MAX_LATE_S)
        self.assertEqual((in_time, self.received - received), (1, 3))
        self.assertTrue(self.is_answered())

    def test_a_late_message_of_a_closed_link_arrives_without_it(self):
        self.within(lambda: self.filter.apply(Cut(late_share=1.0)), "there")
        self.filter.rng.random = lambda: 0.9
        received = self.received
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        self.within(self.here.outgoing[THERE].transport.abort, "here")
        self.within(lambda: self.filter.apply(Cut()), "there")
        self.world.run(MAX_LATE_S)
        self.assertEqual(self.received - received, 1)
        self.assertTrue(self.is_answered())

    def test_a_stream_with_lost_messages_is_reset(self):
        self.cut(HERE)
        self.send(lambda: self.here.send(THERE, ConfigAsk()))
        link = self.here.outgoing[THERE]
        self.cut()
        self.assertTrue(link.gone)
        self.assertEqual(self.received, 1)
        self.assertTrue(self.is_answered())

    def test_datagrams_are_lost(self):
        self.cut(HERE, is_late=True)
        self.send(lambda: self.here.send_datagram(THERE, ConfigAsk()))
        self.cut()
        self.assertEqual(self.received, 1)
        self.send(lambda: self.here.send_datagram(THERE, ConfigAsk()))
        self.assertEqual(self.received, 2)

    def test_a_cut_that_is_not_renewed_expires(self):
        self.cut(HERE)
        self.assertFalse(self.is_answered())
        self.world.run(CUT_EXPIRY_S)
        self.assertTrue(self.is_answered())

    def test_a_cut_is_received_as_a_datagram(self):
        sent = msgspec.json.encode(Cut([HERE]))
        self.send(lambda: self.here.datagrams.sendto(sent, ("10.0.0.2", FILTER_PORT)))
        self.assertEqual(self.filter.cut.senders, [HERE])
        self.assertFalse(self.is_answered())

    def test_a_frame_without_a_sender_is_passed_to_the_mesh(self):
        self.cut(HERE)
        self.assertFalse(self.within(lambda: self.there.receive(b"\x00", None), "there"))
