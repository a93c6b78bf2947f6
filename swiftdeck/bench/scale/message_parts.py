"""What one message costs, from its frame to the end of its handler, and to make it."""

from swiftdeck.bench.scale.hollow import MISSING_TOKENS, hollow_router
from swiftdeck.bench.scale.samples import FIRST_WORKER, PROMPT
from swiftdeck.bench.scale.timing import timed_row
from swiftdeck.gateway.places import Wish
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import KeptNews, LoadNews, PlaceAsk, SwapNews

NEIGHBOUR = "10.0.0.2:7000"
TIMES = 200
FAR_FUTURE_S = 1e9


def frame(message):
    """What arrives at a node when a neighbour sends a message."""
    return Mesh(NEIGHBOUR)._envelope(message)


def _kept_news(count):
    return KeptNews(
        holder=FIRST_WORKER,
        salts=["1"] * count,
        tokens=[13300] * count,
        parts=[f"book{at:012}" for at in range(count)],
    )


def _messages():
    yield "load news", LoadNews(worker=FIRST_WORKER, backlog=9000, running=2)
    yield "swap news", SwapNews(workers=[FIRST_WORKER], model="m", version=1, for_ms=600)
    for count in (1, 10, 100):
        yield f"kept news of {count}", _kept_news(count)


def parts_of_messages():
    """Rows for the messages that go to all, and for a place asked for."""
    node = hollow_router(3, 12)
    node.mesh.on(SwapNews, lambda news, sender: None)
    for name, message in _messages():
        yield from _message_rows(node, name, message)
    yield _place_row()


def _message_rows(node, name, message):
    data = frame(message)
    size = len(data)
    yield timed_row(f"{name}, taken", lambda: node.mesh.take(data, None), TIMES, bytes=size)
    yield timed_row(f"{name}, made", lambda: node.mesh._envelope(message), TIMES)


def _place_ask(number):
    return PlaceAsk(
        router="router1",
        call=f"c{number}",
        episode="e",
        tenant="t",
        worker=FIRST_WORKER,
        tokens=sum(tokens for _, tokens in PROMPT),
        wait_ms=100,
        left_ms=6000,
        salt="1",
        shared=["book"],
        sizes=[13300],
        missing=MISSING_TOKENS,
    )


def _place_row():
    serial = iter(range(1 << 30))
    admission = hollow_router(3, 12).admission
    admission.start()
    books = admission.books
    books.on_load = lambda worker, backlog, running: None

    def place():
        ask = PlaceAsk().parse(bytes(_place_ask(next(serial))))
        wish = Wish(
            ask.call, ask.episode, ask.tenant, ask.worker, ask.tokens, FAR_FUTURE_S, ask.missing
        )
        answer = books.ask(wish, 100)
        try:
            answer.send(None)
        except StopIteration:
            books.ended(ask.call)

    return timed_row("a place asked for, given and ended, without telling", place, TIMES)
