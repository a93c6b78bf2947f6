"""Spreads news by gossip: pushed to a few random processes, gaps filled by comparing digests."""

import asyncio

from swiftdeck.wire.messages import News, NewsDigest, NewsItem


class NewsTable:
    """News items by key; of two items with the same key the one with the higher stamp is kept."""

    def __init__(self, mesh, membership, fan_out=3, digest_interval_ms=1000):
        self.mesh, self.membership, self.fan_out, self.digest_interval_ms = (
            mesh,
            membership,
            fan_out,
            digest_interval_ms,
        )
        self.items, self.watchers = {}, {}
        mesh.register(News, self.on_news)
        mesh.register(NewsDigest, self.on_digest)

    def start(self):
        """Start sending digests periodically, so that others send what this process missed."""
        self.task = asyncio.ensure_future(self._send_digests())

    def watch(self, prefix, watcher):
        """Call `watcher(key, stamp, body)` for each new item whose key begins with `prefix`."""
        self.watchers[prefix] = watcher

    def post(self, key, stamp, body=b""):
        """Publish an item to the fleet."""
        self._merge([NewsItem(key=key, stamp=stamp, body=body)])

    def on_news(self, news, sender):
        """Merge received items and forward those that were new here."""
        self._merge(news.items, sender)

    def on_digest(self, digest, sender):
        """Send the items that the sender lacks or has with a lower stamp."""
        sender_stamps = dict(zip(digest.keys, digest.stamps, strict=False))
        fresh = [
            item for key, item in self.items.items() if item.stamp > sender_stamps.get(key, -1)
        ]
        if fresh:
            self.mesh.send(sender, News(items=fresh))

    def _merge(self, items, sender=None):
        fresh = [
            item
            for item in items
            if item.key not in self.items or item.stamp > self.items[item.key].stamp
        ]
        for item in fresh:
            self.items[item.key] = item
            for prefix, watcher in self.watchers.items():
                if item.key.startswith(prefix):
                    watcher(item.key, item.stamp, item.body)
        if fresh:
            for member in self.membership.some(self.fan_out):
                if member.addr != sender:
                    self.mesh.send(member.addr, News(items=fresh))

    async def _send_digests(self):
        while True:
            await asyncio.sleep(self.digest_interval_ms / 1000)
            stamps = [item.stamp for item in self.items.values()]
            for member in self.membership.some(1):
                self.mesh.send_datagram(
                    member.addr, NewsDigest(keys=list(self.items), stamps=stamps)
                )
