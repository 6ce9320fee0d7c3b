"""A worker in trouble whose answers have no end, as a process of its own.

Arguments: host, port, and the bytes of each chunk of the body, 0 for a body without
a length that ends with its connection. The bytes come until the caller closes.
"""

import asyncio
import sys

import standins

BLOCK_BYTES = 65_536


def make_head(request_id, size):
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Server-Stamp: endless.{request_id}\r\n"
        + ("Transfer-Encoding: chunked\r\n" if size else "")
        + "\r\n"
    ).encode()


async def main(host, port, size):
    part = b"%x\r\n%s\r\n" % (size, b"x" * size) if size else b"x"
    block = part * (BLOCK_BYTES // len(part))

    async def serve(reader, writer):
        try:
            while True:
                _, headers, _ = await standins.read_message(reader)
                request_id = headers.get("x-request-id", "")
                print(request_id, flush=True)
                writer.write(make_head(request_id, size))
                while not writer.transport.is_closing():
                    writer.write(block)
                    await writer.drain()
                return
        except (standins.Closed, OSError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, host, port)
    async with server:
        await server.serve_forever()


asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
