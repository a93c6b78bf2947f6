"""The admission books of one model: who is open where, and which conversation a prompt extends."""

import asyncio
import typing

from swiftdeck.traffic.book import Book, Conversation


class Host(typing.Protocol):
    """What the parts of a keeper ask of it."""

    model: str
    term: int

    def config(self): ...
    def isReady(self) -> bool: ...
    def mine(self) -> list: ...


class Books:
    """Owner of the books: the other parts read them and change them only by its commands, each of which runs to its end."""

    def __init__(self, host: Host, board, decisions, holdLicenceMs=3000):
        self.host, self.board, self.decisions, self.holdLicenceMs = (
            host,
            board,
            decisions,
            holdLicenceMs,
        )
        self.loop = asyncio.get_running_loop()
        self.clear()

    def clear(self):
        """Begin with empty books."""
        self.table, self.conversations, self.byLast, self.routers = {}, {}, {}, {}

    def of(self, worker) -> Book:
        """The book of a worker."""
        if worker not in self.table:
            config = self.host.config()
            self.table[worker] = Book(
                worker, (config.capLeast if config.adapts else config.cap) if config else 1
            )
        return self.table[worker]

    def all(self):
        """The books as they are now, safe to change meanwhile."""
        return list(self.table.values())

    def open(self, conversation: Conversation):
        """Enter a new conversation."""
        self.conversations[conversation.name] = conversation
        self.of(conversation.worker).entry(conversation)

    def move(self, conversation: Conversation, worker):
        """Enter a conversation at another worker, over the cap if need be."""
        self.of(conversation.worker).leave(conversation)
        self.of(worker).entry(conversation)

    def adopt(self, told, addr, graceS):
        """Take over what a router tells of a conversation that it serves or served."""
        nowS = self.loop.time()
        found = self.conversations.get(told.conversation)
        idleSinceS = max(nowS - told.idleMs / 1000, graceS)
        if found is None:
            found = Conversation(
                told.conversation, told.tenant, told.group, told.worker, told.weights
            )
            found.idleSinceS = idleSinceS
            self.open(found)
        elif idleSinceS > found.idleSinceS and told.worker != found.worker:
            self.move(found, told.worker)
        found.isServed = True
        found.parts, found.turns = max(found.parts, told.parts), max(found.turns, told.turns)
        found.idleSinceS = max(found.idleSinceS, idleSinceS)
        self.remember(found, told.last)
        if told.call and told.isSent:
            found.running[told.call] = (addr, nowS)
            self.seen(addr)

    def run(self, conversation: Conversation, ask, sender) -> bool:
        """Count a granted leg; gives whether its call is a new one."""
        isNew = ask.leg <= 1 and not ask.wasGranted and ask.call not in conversation.running
        conversation.running[ask.call] = (sender, self.loop.time())
        conversation.turns += isNew
        self.remember(conversation, ask.talk[-1])
        conversation.weights = ask.weights
        conversation.parts = max(conversation.parts, len(ask.chain))
        conversation.isOver = False
        self.seen(sender)
        return isNew

    def callEnded(self, conversation: Conversation, call):
        """A leg is over; the conversation is idle from now on when it was the last."""
        if conversation.running.pop(call, None) is not None and not conversation.running:
            conversation.idleSinceS = self.loop.time()

    def legEnded(self, conversation: Conversation, end):
        """Take in what a router says of a leg that is over, and close the conversation if it ends with it."""
        conversation.isOver = conversation.isOver or end.isOver
        book = self.of(conversation.worker)
        if end.parts and conversation.turns > 1:
            book.returns += 1
            book.hits += end.hits >= end.earlier
        if end.neverSent and end.isBad:
            book.shunnedUntilS = self.loop.time() + 2.0
        self.callEnded(conversation, end.call)
        conversation.isServed = conversation.isServed or not end.neverSent
        if not conversation.isServed and not conversation.running:
            self.close(conversation, "never sent")
        elif conversation.isOver and not conversation.running:
            self.close(conversation, "said so")
        return book

    def close(self, conversation: Conversation, why):
        """End a conversation."""
        self.of(conversation.worker).leave(conversation)
        self.conversations.pop(conversation.name, None)
        for last in conversation.lasts:
            self._forget(conversation, last)
        self.board.count["conversationsEnded"] += 1
        self.decisions.add(
            "end",
            conversation=conversation.name,
            worker=conversation.worker,
            why=why,
            turns=conversation.turns,
        )

    def _forget(self, conversation, last):
        names = self.byLast.get((conversation.tenant, last))
        if names:
            names.discard(conversation.name)
            if not names:
                del self.byLast[(conversation.tenant, last)]

    def remember(self, conversation: Conversation, last):
        """Know a conversation again by a prompt of its own."""
        if last in conversation.lasts:
            return
        if len(conversation.lasts) == conversation.lasts.maxlen:
            self._forget(conversation, conversation.lasts[0])
        conversation.lasts.append(last)
        self.byLast.setdefault((conversation.tenant, last), set()).add(conversation.name)

    def continued(self, ask):
        """The open conversation that a prompt extends, under whatever weights it was begun."""
        for last in reversed(ask.talk):
            for name in sorted(self.byLast.get((ask.tenant, last), ())):
                found = self.conversations[name]
                isSame = last == ask.talk[-1]
                isBusy = isSame and found.running and ask.call not in found.running
                if found.group == ask.group and not isBusy:
                    return found
        return None

    def seen(self, addr):
        """A router was heard: its slots are held for another licence."""
        self.routers[addr] = self.loop.time() + self.holdLicenceMs / 1000

    def reclaim(self):
        """Give the slots of silent routers back."""
        nowS = self.loop.time()
        silent = [addr for addr, untilS in self.routers.items() if untilS < nowS]
        for addr in silent:
            del self.routers[addr]
            for each in list(self.conversations.values()):
                for call in [call for call, (holder, _) in each.running.items() if holder == addr]:
                    self.callEnded(each, call)
                    self.board.count["legsReclaimed"] += 1

    def mend(self, sender, calls, settledS):
        """End what a router no longer runs; gives those of its calls that are not known here."""
        for each in list(self.conversations.values()):
            for call in [
                call
                for call, (addr, sinceS) in each.running.items()
                if addr == sender and call not in calls and sinceS < settledS
            ]:
                self.callEnded(each, call)
                self.board.count["legEndsMended"] += 1
        return calls - {
            call
            for each in self.conversations.values()
            for call, (addr, _) in each.running.items()
            if addr == sender
        }

    def endIdle(self, book: Book, config):
        """Close what has been idle for long, and follow the configuration's cap."""
        for each in book.ended(self.loop.time(), config.idleMs):
            self.close(each, "over" if each.isOver else "idle")
        if not config.adapts:
            book.cap = config.cap

    def drop(self, listed):
        """Forget the books of workers that are no longer listed and have nothing open."""
        for name in [
            name
            for name, book in self.table.items()
            if name not in listed and not book.open and not len(book.line)
        ]:
            del self.table[name]

    def status(self, index):
        """The books in their outward form."""
        for worker in self.host.mine():
            self.of(worker.name)
        return {
            name: {
                "open": len(book.open),
                "cap": book.cap,
                "line": len(book.line),
                "up": index.isUp(name),
                "weights": index.weights(name),
                "running": sum(len(each.running) for each in book.open.values()),
            }
            for name, book in sorted(self.table.items())
        }
