"""The platform's metadata store and its promotion call, over HTTP/1.1."""

import asyncio
import base64
import json
import urllib.parse


class HttpServer:
    """Answers HTTP/1.1 calls with keep-alive; handlers are coroutines."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                status, answer = await self._handler(
                    method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """Linearizable key-value store with revisions."""

    def __init__(self, answer_s=0.004):
        self.items = {}
        self.revision = 1
        self.answer_s = answer_s
        self.http = HttpServer(self._handle)

    def put(self, key, document):
        self.revision += 1
        self.items[key] = (json.dumps(document).encode(), self.revision)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1

    def document(self, key):
        return json.loads(self.items[key][0]) if key in self.items else None

    def _item(self, key):
        value, revision = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(),
                "Revision": revision, "CreatedRevision": revision,
                "LeaseId": 0}

    async def _handle(self, method, target, _, body):
        await asyncio.sleep(self.answer_s)
        path, _, query = target.partition("?")
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        if path == "/kv-range":
            prefix, after = fields.get("Prefix", ""), fields.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self._item(k) for k in keys[:500]],
                         "HasMore": len(keys) > 500,
                         "AtRevision": self.revision}
        if path == "/kv-txn":
            return self._change(json.loads(body))
        return 404, {}

    def _change(self, call):
        rows = call.get("ExpectedRevision", [])
        if any(self.items.get(row["Key"], (b"", 0))[1] != row["Revision"]
               for row in rows):
            return 412, {"items": [self._item(row["Key"]) for row in rows
                                   if row["Key"] in self.items]}
        if call.get("SetKeys") or call.get("Remove"):
            self.revision += 1
        for row in call.get("SetKeys", []):
            value = base64.b64decode(row["Value"])
            self.items[row["Key"]] = (value, self.revision)
        for key in call.get("Remove", []):
            self.items.pop(key, None)
        return 200, {"Revision": self.revision}


class Cloud:
    """The call that designates the primary of a service."""

    def __init__(self, services, record):
        self.services = services
        self.record = record
        self.http = HttpServer(self._handle)

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        call = json.loads(body)
        service = self.services.get(call["Service"])
        self.record(f"promotion service={call['Service']} id={call['Id']} "
                    f"holder={headers.get('x-duty-holder')} "
                    f"token={headers.get('x-fencing-token')}")
        server = service.servers.get(call["Id"]) if service else None
        if server is None or server.crashed:
            return 409, {}
        service.promote_soon(server)
        return 200, {}
