"""News: pushed to a few others, gaps mended by comparing digests."""

import asyncio

from swiftdeck.wire.messages import News, NewsDigest, NewsItem


class NewsTable:
    """Items by key; of two items with one key the higher stamp stands."""

    def __init__(self, mesh, membership, fan_out=3, digest_ms=1000):
        self.mesh, self.membership, self.fan_out, self.digest_ms = (
            mesh,
            membership,
            fan_out,
            digest_ms,
        )
        self.items, self.watchers = {}, {}
        mesh.register(News, self.on_news)
        mesh.register(NewsDigest, self.on_digest)

    def start(self):
        """Go on mending gaps."""
        self.task = asyncio.ensure_future(self._mending())

    def watch(self, prefix, watcher):
        """Call `watcher(key, stamp, body)` for each new item whose key starts so."""
        self.watchers[prefix] = watcher

    def post(self, key, stamp, body=b""):
        """Bring news into the fleet."""
        self._take([NewsItem(key=key, stamp=stamp, body=body)])

    def on_news(self, news, sender):
        """Take in news and pass on what is fresh."""
        self._take(news.items, sender)

    def on_digest(self, digest, sender):
        """Send what the sender does not have yet."""
        theirs = dict(zip(digest.keys, digest.stamps, strict=False))
        fresh = [item for key, item in self.items.items() if item.stamp > theirs.get(key, -1)]
        if fresh:
            self.mesh.send(sender, News(items=fresh))

    def _take(self, items, sender=None):
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
            for each in self.membership.some(self.fan_out):
                if each.addr != sender:
                    self.mesh.send(each.addr, News(items=fresh))

    async def _mending(self):
        while True:
            await asyncio.sleep(self.digest_ms / 1000)
            stamps = [item.stamp for item in self.items.values()]
            for each in self.membership.some(1):
                self.mesh.send_datagram(each.addr, NewsDigest(keys=list(self.items), stamps=stamps))
