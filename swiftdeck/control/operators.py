"""The operators' HTTP API of a core: changes, the configuration and its history, status."""

import msgspec

from swiftdeck.fault import BAD_METHOD, BAD_OPERATOR_KEY, BAD_REQUEST, NOT_FOUND, is_fault
from swiftdeck.wire.messages import ConfigAsk


class OperatorHttpApi:
    """Handles the requests of operators; each change has an id, a base version and an author."""

    def __init__(self, core):
        self.core = core

    async def handle(self, exchange):
        """Answer one request; a returned fault is sent by the HTTP server."""
        key = self.core.settings.operatorKey
        if key and exchange.headers.get("authorization") != f"Bearer {key}":
            return BAD_OPERATOR_KEY
        self.core.telemetry.count["operatorExchanges"] += 1
        path, method = exchange.path.rstrip("/"), exchange.method
        if path == "/v1/config":
            return await self._handle_config(exchange, method)
        if path == "/v1/changes" and method == "POST":
            return await self._handle_change_stream(exchange)
        if path.startswith("/v1/changes/") and method == "GET":
            return await self._handle_outcome(exchange, path.rsplit("/", 1)[1])
        if path == "/v1/status" and method == "GET":
            return await exchange.send_json(200, self.core.status())
        if path == "/v1/counters" and method == "GET":
            return await exchange.send_json(200, self.core.counters())
        if path.startswith("/v1/history") and method == "GET":
            return await self._handle_history(exchange, path.removeprefix("/v1/history").strip("/"))
        if path == "/v1/seeds" and method == "PUT":
            return await self._handle_seeds(exchange)
        return (
            BAD_METHOD
            if path in ("/v1/changes", "/v1/status", "/v1/counters", "/v1/seeds")
            else NOT_FOUND
        )

    async def _handle_config(self, exchange, method):
        if method == "GET":
            response = await self.core.change_writer.read_tail(ConfigAsk())
            if is_fault(response):
                return response
            return await exchange.send_json(
                200,
                {"version": response.version, "document": msgspec.Raw(response.document or b"{}")},
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
        status, result, headers = await self.submit_change(change)
        return await exchange.send_json(status, result, headers)

    def _new_id(self):
        return f"{self.core.random.getrandbits(80):020x}"

    async def submit_change(self, change):
        """Submit one change to the chain; return (HTTP status, body, headers) of the result."""
        fault = self._check_change(change)
        if fault is None:
            entry = {
                "t": "config",
                "base": int(change["base"]),
                "op": change["op"],
                "author": change.get("author", ""),
                "document": change["document"],
            }
            response = await self.core.change_writer.write(change["id"], entry)
            if not is_fault(response):
                self.core.telemetry.count["changesTaken"] += 1
                return 200, {"code": 0, "changeId": change["id"], "version": response.version}, []
            fault = response
        self.core.telemetry.count[f"faults.{fault.code}"] += 1
        result = fault.as_body()
        if isinstance(change, dict) and isinstance(change.get("id"), str):
            result["changeId"] = change["id"]
        retry_headers = (
            [("retry-after", str(max(1, fault.retry_ms // 1000)))] if fault.retry_ms else []
        )
        return fault.status, result, retry_headers

    def _check_change(self, change):
        if not isinstance(change, dict):
            return BAD_REQUEST.with_reason("a change must be an object")
        unknown = set(change) - {"id", "op", "base", "author", "document"}
        if unknown:
            return BAD_REQUEST.with_reason(f"unknown field {min(unknown)}")
        if change.get("op") not in ("put", "patch"):
            return BAD_REQUEST.with_reason("op must be put or patch")
        if not isinstance(change.get("id"), str) or not 0 < len(change["id"]) <= 100:
            return BAD_REQUEST.with_reason("id must be a string of 1 to 100 characters")
        if not isinstance(change.get("author", ""), str) or len(change.get("author", "")) > 200:
            return BAD_REQUEST.with_reason("author must be a string of at most 200 characters")
        if not str(change.get("base", "")).isdecimal() or len(str(change["base"])) > 15:
            return BAD_REQUEST.with_reason(
                "base must be the number of the version that the change builds on"
            )
        if not isinstance(change.get("document"), dict):
            return BAD_REQUEST.with_reason("document must be an object")
        return None

    async def _handle_change_stream(self, exchange):
        exchange.begin(
            200, [("content-type", "application/x-ndjson"), ("transfer-encoding", "chunked")]
        )
        async for line in exchange.lines():
            if line.strip():
                result = await self._submit_line(exchange, line)
                await exchange.send_chunk(msgspec.json.encode(result) + b"\n")
        if exchange.body_fault is not None:
            await exchange.send_chunk(msgspec.json.encode(exchange.body_fault.as_body()) + b"\n")
        exchange.finish()

    async def _submit_line(self, exchange, line):
        """Submit the change in a line of a stream; return the result as a body."""
        fault = exchange.reserve_decoding(line)
        if fault is not None:
            return fault.as_body()
        try:
            change = msgspec.json.decode(line)
            if isinstance(change, dict):
                change = {"id": self._new_id()} | change
            _, result, _ = await self.submit_change(change)
        except (msgspec.DecodeError, RecursionError) as error:
            return BAD_REQUEST.with_reason(f"line is not JSON: {error}").as_body()
        return result

    async def _handle_outcome(self, exchange, change_id):
        response = await self.core.change_writer.outcome(change_id, 1500)
        if is_fault(response):
            return response
        return await exchange.send_json(
            200, {"code": 0, "changeId": change_id, "version": response.version}
        )

    async def _handle_history(self, exchange, version):
        archive = self.core.archive
        if archive is None or not (version == "" or version.isdecimal()):
            return NOT_FOUND
        content = await (
            archive.run_in_thread(archive.read_document, int(version))
            if version
            else archive.run_in_thread(archive.list_versions)
        )
        if content is None or is_fault(content):
            return NOT_FOUND.with_reason("not in the archive of this core")
        return await exchange.send_json(
            200, {"version": int(version), "text": content} if version else {"versions": content}
        )

    async def _handle_seeds(self, exchange):
        body = exchange.json()
        if is_fault(body):
            return body
        if not isinstance(body, list) or not all(
            isinstance(seed, str) and ":" in seed for seed in body
        ):
            return BAD_REQUEST.with_reason("seeds must be a list of IP:PORT")
        self.core.membership.set_seeds(body)
        return await exchange.send_json(200, {"seeds": body})
