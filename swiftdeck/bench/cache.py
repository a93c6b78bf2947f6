"""A finite prefix cache that drops the least recently used."""

from collections import OrderedDict

import attrs


@attrs.frozen
class Entry:
    """One kept link of a chain and who made it."""

    tokens: int
    tenant: str
    weights: str


class PrefixCache:
    """Links by digest; an earlier link of a chain is always used later than what follows it."""

    def __init__(self, room: int, on_change=lambda kind, link: None):
        self.room, self.used, self.on_change = room, 0, on_change
        self.entries: OrderedDict[bytes, Entry] = OrderedDict()

    def depth(self, chain) -> int:
        """How many links from the first on are kept."""
        return next((at for at, link in enumerate(chain) if link not in self.entries), len(chain))

    def touch(self, chain):
        """Use links, so that they are dropped last."""
        for link in reversed(chain):
            if link in self.entries:
                self.entries.move_to_end(link)

    def keep(self, chain, entries):
        """Keep links that were made or fetched."""
        for link, entry in zip(chain, entries, strict=False):
            if link not in self.entries:
                self.entries[link] = entry
                self.used += entry.tokens
                self.on_change("kept", link)
        self.touch(chain)
        while self.used > self.room:
            link, entry = self.entries.popitem(last=False)
            self.used -= entry.tokens
            self.on_change("dropped", link)

    def clear(self):
        """Drop everything."""
        self.entries.clear()
        self.used = 0
