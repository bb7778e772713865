"""A client's session in the wire protocol."""

import asyncio
import time

# These codes say that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


class Closed(Exception):
    """The connection ended, or nothing came within the client's time."""


class Reply:
    def __init__(self):
        self.rows = []
        self.signature = None
        self.code = None
        self.state = None


class Session:
    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer
        self.sent_at = None

    @classmethod
    async def open(cls, host, port, database, limit_s=2.0):
        try:
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 21)
        except OSError as error:
            raise Closed(str(error)) from error
        session = cls(reader, writer)
        writer.write(f"START {database} u1\r\n".encode())
        reply = await session._reply(limit_s)
        if reply.code:
            session.close()
            raise Closed(reply.code)
        return session

    async def ask(self, identity, text, limit_s=6.0):
        """Sends a statement and returns its reply."""
        self.sent_at = time.monotonic()
        try:
            self._writer.write(f"QUERY {identity} {text}\r\n".encode())
            return await self._reply(limit_s)
        finally:
            self.sent_at = None

    def notice_waits(self):
        """A message has come while no request was outstanding."""
        return bool(self._reader._buffer) or self._reader.at_eof()

    async def _reply(self, limit_s):
        reply = Reply()
        end = time.monotonic() + limit_s
        while True:
            try:
                line = await asyncio.wait_for(
                    self._reader.readline(), end - time.monotonic())
            except (OSError, ValueError, asyncio.TimeoutError) as error:
                raise Closed(f"{type(error).__name__}") from error
            if not line.endswith(b"\r\n"):
                raise Closed("end of the connection")
            word, _, rest = line.decode(errors="replace")[:-2].partition(" ")
            if word == "READY":
                reply.state = rest[:1]
                return reply
            if word == "DATAROW":
                reply.rows.append(rest)
            elif word == "COMPLETE":
                reply.signature = rest
            elif word == "ERROR":
                reply.code = rest.split(" ")[0]

    def close(self):
        self._writer.close()
