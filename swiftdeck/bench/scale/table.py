"""Rows of measurements as a table of Markdown."""

FLEET_COLUMNS = (
    "role",
    "routers",
    "workers",
    "cores",
    "sentS",
    "takenS",
    "sentBytesS",
    "takenBytesS",
    "wakesS",
    "cpuMsS",
    "changeMs",
    "goneMs",
    "maxRssKBEach",
)
PART_COLUMNS = (
    "part",
    "routers",
    "workers",
    "tenants",
    "count",
    "holders",
    "bytes",
    "us",
    "bytesHeldEach",
    "routesHeldEach",
)


def _cell(value):
    if isinstance(value, list):
        return " / ".join(map(str, value))
    return "" if value is None else str(value)


def _line(cells):
    return "| " + " | ".join(cells) + " |"


def table(rows, columns):
    """Rows as lines of a table; a column that a row doesn't have is left empty."""
    body = [_line(_cell(row.get(column)) for column in columns) for row in rows]
    return [_line(columns), "|" + "---|" * len(columns), *body]
