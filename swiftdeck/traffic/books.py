"""The admission books of one model: who is open where, and which conversation a prompt extends."""

import asyncio
import typing

from swiftdeck.traffic.book import Book, Conversation


class Host(typing.Protocol):
    """What the parts of a keeper ask of it."""

    model: str
    term: int

    def config(self):
        """The model's entry in the configuration held."""

    def is_ready(self) -> bool:
        """Whether starts may be granted, all routers having been asked."""

    def mine(self) -> list:
        """The workers of the model."""


class Books:
    """Owner of the books: the other parts read them, and change them only by its commands."""

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
        self.table, self.conversations, self.by_last, self.routers = {}, {}, {}, {}

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

    def adopt(self, told, addr, grace_s):
        """Take over what a router tells of a conversation that it serves or served."""
        now_s = self.loop.time()
        found = self.conversations.get(told.conversation)
        idle_since_s = max(now_s - told.idleMs / 1000, grace_s)
        if found is None:
            found = Conversation(
                told.conversation, told.tenant, told.group, told.worker, told.weights
            )
            found.idle_since_s = idle_since_s
            self.open(found)
        elif idle_since_s > found.idle_since_s and told.worker != found.worker:
            self.move(found, told.worker)
        found.is_served = True
        found.parts, found.turns = max(found.parts, told.parts), max(found.turns, told.turns)
        found.idle_since_s = max(found.idle_since_s, idle_since_s)
        self.remember(found, told.last)
        if told.call and told.is_sent:
            found.running[told.call] = (addr, now_s)
            self.seen(addr)

    def run(self, conversation: Conversation, ask, sender) -> bool:
        """Count a granted attempt; gives whether its call is a new one."""
        is_new = ask.attempt <= 1 and not ask.was_granted and ask.call not in conversation.running
        conversation.running[ask.call] = (sender, self.loop.time())
        conversation.turns += is_new
        self.remember(conversation, ask.talk[-1])
        conversation.weights = ask.weights
        conversation.parts = max(conversation.parts, len(ask.chain))
        conversation.is_over = False
        self.seen(sender)
        return is_new

    def call_ended(self, conversation: Conversation, call):
        """A attempt is over; the conversation is idle from now on when it was the last."""
        if conversation.running.pop(call, None) is not None and not conversation.running:
            conversation.idle_since_s = self.loop.time()

    def attempt_ended(self, conversation: Conversation, end):
        """Take in that an attempt is over; close its conversation if that ends too."""
        conversation.is_over = conversation.is_over or end.is_over
        book = self.of(conversation.worker)
        if end.parts and conversation.turns > 1:
            book.returns += 1
            book.hits += end.hits >= end.earlier
        if end.never_sent and end.is_bad:
            book.shunned_until_s = self.loop.time() + 2.0
        self.call_ended(conversation, end.call)
        conversation.is_served = conversation.is_served or not end.never_sent
        if not conversation.is_served and not conversation.running:
            self.close(conversation, "never sent")
        elif conversation.is_over and not conversation.running:
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
        names = self.by_last.get((conversation.tenant, last))
        if names:
            names.discard(conversation.name)
            if not names:
                del self.by_last[(conversation.tenant, last)]

    def remember(self, conversation: Conversation, last):
        """Know a conversation again by a prompt of its own."""
        if last in conversation.lasts:
            return
        if len(conversation.lasts) == conversation.lasts.maxlen:
            self._forget(conversation, conversation.lasts[0])
        conversation.lasts.append(last)
        self.by_last.setdefault((conversation.tenant, last), set()).add(conversation.name)

    def continued(self, ask):
        """The open conversation that a prompt extends, under whatever weights it was begun."""
        for last in reversed(ask.talk):
            for name in sorted(self.by_last.get((ask.tenant, last), ())):
                found = self.conversations[name]
                is_same = last == ask.talk[-1]
                is_busy = is_same and found.running and ask.call not in found.running
                if found.group == ask.group and not is_busy:
                    return found
        return None

    def seen(self, addr):
        """A router was heard: its slots are held for another lease."""
        self.routers[addr] = self.loop.time() + self.holdLicenceMs / 1000

    def reclaim(self):
        """Give the slots of silent routers back."""
        now_s = self.loop.time()
        silent = [addr for addr, until_s in self.routers.items() if until_s < now_s]
        for addr in silent:
            del self.routers[addr]
            for each in list(self.conversations.values()):
                for call in [call for call, (holder, _) in each.running.items() if holder == addr]:
                    self.call_ended(each, call)
                    self.board.count["legsReclaimed"] += 1

    def mend(self, sender, calls, settled_s):
        """End what a router no longer runs; gives those of its calls that are not known here."""
        for each in list(self.conversations.values()):
            for call in [
                call
                for call, (addr, since_s) in each.running.items()
                if addr == sender and call not in calls and since_s < settled_s
            ]:
                self.call_ended(each, call)
                self.board.count["legEndsMended"] += 1
        return calls - {
            call
            for each in self.conversations.values()
            for call, (addr, _) in each.running.items()
            if addr == sender
        }

    def end_idle(self, book: Book, config):
        """Close what has been idle for long, and follow the configuration's cap."""
        for each in book.ended(self.loop.time(), config.idleMs):
            self.close(each, "over" if each.is_over else "idle")
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
                "up": index.is_up(name),
                "weights": index.weights(name),
                "running": sum(len(each.running) for each in book.open.values()),
            }
            for name, book in sorted(self.table.items())
        }
