"""What a worker or a store keeps of prompts, and its reports of it."""

import asyncio

import attrs

TOLD_MOST = 500


@attrs.define
class KeptPart:
    """One part as it was made."""

    tokens: int
    model: str
    tenant: str
    version: int


class PartCache:
    """Parts under salts; those unused longest give way, and each coming and going is told."""

    def __init__(self, room, random):
        self.room, self.random, self.used, self.held = room, random, 0, {}
        self.epoch, self.number, self.events, self.watching = random.getrandbits(30), 0, [], []
        self.lost_share, self.late_s = 0.0, 0.0

    def first(self, salt, model, names):
        """The kept parts at the beginning of a prompt, which count as used now."""
        found = []
        for name in names:
            kept = self.held.get((salt, name))
            if kept is None or kept.model != model:
                break
            self.held[salt, name] = self.held.pop((salt, name))
            found.append(kept)
        return found

    def keep(self, salt, name, kept):
        """Keep a part as it was first made."""
        if (salt, name) in self.held:
            return
        self.held[salt, name] = kept
        self.used += kept.tokens
        self._tell("+", salt, name, kept)
        while self.used > self.room and len(self.held) > 1:
            self.drop(*next(iter(self.held)))

    def drop(self, salt, name):
        """Keep a part no longer."""
        kept = self.held.pop((salt, name))
        self.used -= kept.tokens
        self._tell("-", salt, name, kept)

    def clear(self, model=None):
        """Drop all, or all of one model."""
        for salt, name in [key for key, kept in self.held.items() if model in (None, kept.model)]:
            self.drop(salt, name)

    def _tell(self, sign, salt, name, kept):
        self.number += 1
        if self.random.random() >= self.lost_share:
            self.events.append([self.number, sign, salt, name, kept.tokens, kept.model])
        del self.events[:-TOLD_MOST]
        waiting, self.watching = self.watching, []
        for done in waiting:
            if not done.done():
                done.set_result(None)

    async def reports(self, since, wait_ms):
        """Reports since a number, which may be waited for."""
        if self.number <= since and wait_ms:
            done = asyncio.get_running_loop().create_future()
            self.watching.append(done)
            await asyncio.wait([done], timeout=min(wait_ms, 1000) / 1000)
        number = self.number
        await asyncio.sleep(self.late_s)
        is_lost = bool(since < number - TOLD_MOST)
        return {
            "epoch": self.epoch,
            "next-token": number,
            "lost": is_lost,
            "events": [each for each in self.events if since < each[0] <= number],
        }

    def listed(self):
        """All that is kept."""
        return {
            "epoch": self.epoch,
            "next-token": self.number,
            "held": [
                [salt, name, kept.tokens, kept.model] for (salt, name), kept in self.held.items()
            ],
        }
