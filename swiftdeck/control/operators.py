"""The operators' HTTP API of a core: changes in, configuration and status out."""

import msgspec

from swiftdeck.fault import BAD_METHOD, BAD_OPERATOR_KEY, BAD_REQUEST, NOT_FOUND, is_fault
from swiftdeck.wire.messages import ConfigAsk


class Operators:
    """Answers operators; each change has an id, a base version and an author."""

    def __init__(self, core):
        self.core = core

    async def handle(self, exchange):
        """One exchange with an operator."""
        key = self.core.settings.operatorKey
        if key and exchange.headers.get("authorization") != f"Bearer {key}":
            return BAD_OPERATOR_KEY
        self.core.telemetry.count["operatorExchanges"] += 1
        path, method = exchange.path.rstrip("/"), exchange.method
        if path == "/v1/config":
            return await self._config(exchange, method)
        if path == "/v1/changes" and method == "POST":
            return await self._stream(exchange)
        if path.startswith("/v1/changes/") and method == "GET":
            return await self._outcome(exchange, path.rsplit("/", 1)[1])
        if path == "/v1/status" and method == "GET":
            return await exchange.send_json(200, self.core.status())
        if path == "/v1/counters" and method == "GET":
            return await exchange.send_json(200, self.core.counters())
        if path.startswith("/v1/history") and method == "GET":
            return await self._history(exchange, path.removeprefix("/v1/history").strip("/"))
        if path == "/v1/seeds" and method == "PUT":
            return await self._seeds(exchange)
        return (
            BAD_METHOD
            if path in ("/v1/changes", "/v1/status", "/v1/counters", "/v1/seeds")
            else NOT_FOUND
        )

    async def _config(self, exchange, method):
        if method == "GET":
            got = await self.core.change_writer.read_tail(ConfigAsk())
            if is_fault(got):
                return got
            return await exchange.send_json(
                200, {"version": got.version, "document": msgspec.Raw(got.document or b"{}")}
            )
        if method not in ("PUT", "PATCH"):
            return BAD_METHOD
        body = exchange.json()
        if is_fault(body):
            return body
        change = {
            "id": exchange.headers.get("change-id") or self._new_id(),
            "op": "put" if method == "PUT" else "patch",
            "base": exchange.query.get("base"),
            "author": exchange.headers.get("author", ""),
            "document": body,
        }
        status, told, headers = await self.change(change)
        return await exchange.send_json(status, told, headers)

    def _new_id(self):
        return f"{self.core.random.getrandbits(80):020x}"

    async def change(self, asked):
        """Put one change through the chain: (status, told, headers)."""
        fault = self._malformed(asked)
        if fault is None:
            entry = {
                "t": "config",
                "base": int(asked["base"]),
                "op": asked["op"],
                "author": asked.get("author", ""),
                "document": asked["document"],
            }
            got = await self.core.change_writer.write(asked["id"], entry)
            if not is_fault(got):
                self.core.telemetry.count["changesTaken"] += 1
                return 200, {"code": 0, "changeId": asked["id"], "version": got.version}, []
            fault = got
        self.core.telemetry.count[f"faults.{fault.code}"] += 1
        told = fault.as_body()
        if isinstance(asked, dict) and isinstance(asked.get("id"), str):
            told["changeId"] = asked["id"]
        wait = [("retry-after", str(max(1, fault.retry_ms // 1000)))] if fault.retry_ms else []
        return fault.status, told, wait

    def _malformed(self, asked):
        if not isinstance(asked, dict):
            return BAD_REQUEST.with_reason("a change is an object")
        unknown = set(asked) - {"id", "op", "base", "author", "document"}
        if unknown:
            return BAD_REQUEST.with_reason(f"unknown field {min(unknown)}")
        if asked.get("op") not in ("put", "patch"):
            return BAD_REQUEST.with_reason("op is put or patch")
        if not isinstance(asked.get("id"), str) or not 0 < len(asked["id"]) <= 100:
            return BAD_REQUEST.with_reason("id is a text of 1 to 100 characters")
        if not isinstance(asked.get("author", ""), str) or len(asked.get("author", "")) > 200:
            return BAD_REQUEST.with_reason("author is a text of at most 200 characters")
        if not str(asked.get("base", "")).isdecimal() or len(str(asked["base"])) > 15:
            return BAD_REQUEST.with_reason("base is the version that the change builds on")
        if not isinstance(asked.get("document"), dict):
            return BAD_REQUEST.with_reason("document is an object")
        return None

    async def _stream(self, exchange):
        exchange.begin(
            200, [("content-type", "application/x-ndjson"), ("transfer-encoding", "chunked")]
        )
        async for line in exchange.lines():
            if line.strip():
                try:
                    asked = msgspec.json.decode(line)
                    _, told, _ = await self.change(
                        ({"id": self._new_id()} | asked) if isinstance(asked, dict) else asked
                    )
                except (msgspec.DecodeError, RecursionError) as error:
                    told = BAD_REQUEST.with_reason(f"line is not JSON: {error}").as_body()
                await exchange.send_chunk(msgspec.json.encode(told) + b"\n")
        exchange.finish()

    async def _outcome(self, exchange, change_id):
        got = await self.core.change_writer.outcome(change_id, 1500)
        if is_fault(got):
            return got
        return await exchange.send_json(
            200, {"code": 0, "changeId": change_id, "version": got.version}
        )

    async def _history(self, exchange, version):
        archive = self.core.archive
        if archive is None or not (version == "" or version.isdecimal()):
            return NOT_FOUND
        got = await (
            archive.run_in_thread(archive.read_document, int(version))
            if version
            else archive.run_in_thread(archive.list_versions)
        )
        if got is None or is_fault(got):
            return NOT_FOUND.with_reason("the archive of this core does not have it")
        return await exchange.send_json(
            200, {"version": int(version), "text": got} if version else {"versions": got}
        )

    async def _seeds(self, exchange):
        body = exchange.json()
        if is_fault(body):
            return body
        if not isinstance(body, list) or not all(
            isinstance(each, str) and ":" in each for each in body
        ):
            return BAD_REQUEST.with_reason("seeds are a list of IP:PORT")
        self.core.membership.set_seeds(body)
        return await exchange.send_json(200, {"seeds": body})
