"""Which worker, and whether the store, keeps which shared part under which salt."""

KEPT_SHARE = 0.9
"""Parts count as kept from this share of their tokens on, as caches keep whole blocks."""


class KeptTable:
    """Fed by reports and by what this router saw of its own calls; advice only, as caches drop what they like.

    What a worker is expected to keep, as a call that was admitted there reads it, draws other calls there, but is no source yet.
    """

    def __init__(self):
        self.parts, self.by_holder, self.expected, self.down = {}, {}, {}, {}

    def is_down(self, holder: str, now_s: float) -> bool:
        """Whether a holder's follower lately said that it can't be heard; a follower that is gone itself says nothing."""
        return self.down.get(holder, now_s) > now_s

    def expect(self, holder: str, salt: str, part: str, until_s: float):
        """A holder will keep a part soon."""
        self.expected.setdefault((salt, part), {})[holder] = until_s

    def lapse(self, now_s: float):
        """Forget expectations that were not met in time."""
        self.down = {holder: until_s for holder, until_s in self.down.items() if until_s > now_s}
        for key, held in list(self.expected.items()):
            self.expected[key] = {
                holder: until_s for holder, until_s in held.items() if until_s > now_s
            }
            if not self.expected[key]:
                del self.expected[key]

    def keep(self, holder: str, salt: str, part: str, tokens: int):
        """A holder keeps a part."""
        self.parts.setdefault((salt, part), {})[holder] = tokens
        self.by_holder.setdefault(holder, set()).add((salt, part))

    def drop(self, holder: str, salt: str, part: str):
        """A holder no longer keeps a part."""
        held = self.parts.get((salt, part))
        if held and held.pop(holder, None) is not None:
            self.by_holder[holder].discard((salt, part))
            if not held:
                del self.parts[(salt, part)]

    def forget(self, holder: str):
        """A holder lost all, or is gone."""
        for salt, part in list(self.by_holder.pop(holder, ())):
            held = self.parts.get((salt, part), {})
            held.pop(holder, None)
            if not held:
                self.parts.pop((salt, part), None)

    def tokens(self, holder: str, salt: str, parts, is_expected: bool = False) -> int:
        """Tokens of a prompt's first parts that a holder keeps, or is expected to, up to the first one that it lacks."""
        total = 0
        for part in parts:
            held = self.parts.get((salt, part.name), {}).get(holder, 0)
            if is_expected and holder in self.expected.get((salt, part.name), ()):
                held = part.tokens
            if held < part.tokens * KEPT_SHARE:
                return total + held
            total += part.tokens
        return total

    def holders(self, salt: str, parts):
        """Holders of any of the first parts, those that keep most of them first."""
        names = (
            set().union(*(self.parts.get((salt, part.name), {}) for part in parts))
            if parts
            else set()
        )
        return sorted(names, key=lambda name: (-self.tokens(name, salt, parts), name))
