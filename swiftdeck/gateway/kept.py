"""Tracks which worker or store has which shared part of a prompt cached, and under which salt."""

KEPT_SHARE = 0.9
"""A part counts as cached from this share of its tokens on, since caches hold whole blocks."""


class KeptTable:
    """Maps cached parts to their holders.

    It is fed by the reports of caches and by this router's own calls, and is only a hint, since
    caches evict at will. A part that an admitted call will read is expected at its worker: that
    attracts other calls to the worker, but doesn't make it a source.
    """

    def __init__(self):
        self.parts, self.by_holder, self.expected, self.down = {}, {}, {}, {}

    def is_down(self, holder: str, now_s: float) -> bool:
        """Return whether a holder was recently reported unreachable.

        The report comes from the router that follows the holder's cache; a router that is itself
        gone reports nothing.
        """
        return self.down.get(holder, now_s) > now_s

    def expect(self, holder: str, salt: str, part: str, until_s: float):
        """Record that a holder will soon have a part cached."""
        self.expected.setdefault((salt, part), {})[holder] = until_s

    def lapse(self, now_s: float):
        """Drop expectations and reports of unreachable holders that have expired."""
        self.down = {holder: until_s for holder, until_s in self.down.items() if until_s > now_s}
        for key, until_by_holder in list(self.expected.items()):
            self.expected[key] = {
                holder: until_s for holder, until_s in until_by_holder.items() if until_s > now_s
            }
            if not self.expected[key]:
                del self.expected[key]

    def keep(self, holder: str, salt: str, part: str, tokens: int):
        """Record that a holder has a part cached."""
        self.parts.setdefault((salt, part), {})[holder] = tokens
        self.by_holder.setdefault(holder, set()).add((salt, part))

    def drop(self, holder: str, salt: str, part: str):
        """Record that a holder no longer has a part."""
        tokens_by_holder = self.parts.get((salt, part))
        if tokens_by_holder and tokens_by_holder.pop(holder, None) is not None:
            self.by_holder[holder].discard((salt, part))
            if not tokens_by_holder:
                del self.parts[(salt, part)]

    def forget(self, holder: str):
        """Remove all parts of a holder that lost its cache or is gone."""
        for salt, part in list(self.by_holder.pop(holder, ())):
            tokens_by_holder = self.parts.get((salt, part), {})
            tokens_by_holder.pop(holder, None)
            if not tokens_by_holder:
                self.parts.pop((salt, part), None)

    def tokens(self, holder: str, salt: str, parts, is_expected: bool = False) -> int:
        """Return how many tokens of a prompt's leading parts a holder has.

        Counting ends at the first part that it lacks. With `is_expected`, parts that it is expected
        to have count as well.
        """
        total = 0
        for part in parts:
            held_tokens = self.parts.get((salt, part.name), {}).get(holder, 0)
            if is_expected and holder in self.expected.get((salt, part.name), ()):
                held_tokens = part.tokens
            if held_tokens < part.tokens * KEPT_SHARE:
                return total + held_tokens
            total += part.tokens
        return total

    def holders(self, salt: str, parts):
        """Return the holders of any of the parts, those with the most leading tokens first."""
        names = (
            set().union(*(self.parts.get((salt, part.name), {}) for part in parts))
            if parts
            else set()
        )
        return sorted(names, key=lambda name: (-self.tokens(name, salt, parts), name))
