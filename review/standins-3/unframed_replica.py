"""A replica of an application as a process of its own, whose answers end with their connection.

Usage: unframed_replica.py NAME. Prints its port. An answer has neither a length nor chunks; its first
part is sent when the request has arrived, the rest after the work on it.
"""
import asyncio
import sys

from fleet import encode, read_body, read_head

BODY_BYTES = 4800
FIRST_BYTES = 1600
WORK_SECONDS = 0.03


def body_of(request_id):
    """Returns the whole body of the answer to a request."""
    line = ("receipt of " + request_id + "\n").encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


async def serve(name, reader, writer):
    try:
        while True:
            request = await read_head(reader)
            await read_body(request, reader)
            request_id = request.get("Request-Id", "")
            if request.get("Expect-Replica") not in (None, name):
                writer.write(encode("HTTP/1.1 421 X", [("Request-Id", request_id),
                                                       ("Not-Executed", "1"),
                                                       ("Content-Length", "0")]))
                await writer.drain()
                continue
            body = body_of(request_id)
            writer.write(encode("HTTP/1.1 200 OK", [
                ("Request-Id", request_id), ("Replica-Stamp", "stamp-" + name),
                ("Connection", "close")], body[:FIRST_BYTES]))
            await writer.drain()
            await asyncio.sleep(WORK_SECONDS)
            writer.write(body[FIRST_BYTES:])
            await writer.drain()
            return
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    name = sys.argv[1]
    server = await asyncio.start_server(lambda r, w: serve(name, r, w), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
