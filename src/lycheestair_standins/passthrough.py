"""Minimal HTTP proxy, the baseline of the latency that a node adds."""

import sys
from typing import Any

from cheroot import server
import urllib3


class PassThroughServer(server.HTTPServer):
    """HTTP server that forwards every request to one address."""

    keep_alive_conn_limit = 1_000

    def __init__(self, address: tuple[str, int], target: str):
        super().__init__(address, PassThroughGateway, minthreads=32)
        host, _, port = target.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=32, retries=False
        )


class PassThroughGateway(server.Gateway):
    """Forwards a request."""

    def respond(self) -> None:
        """Implements cheroot's gateway."""
        request: Any = self.req
        response = request.server.pool.request(
            request.method.decode(),
            request.uri.decode(),
            body=request.rfile.read() or None,
            headers={
                name.decode(): value.decode()
                for name, value in request.inheaders.items()
            },
        )
        request.status = f"{response.status} -".encode()
        request.outheaders = [
            (name.encode(), value.encode())
            for name, value in response.headers.items()
        ]
        request.ensure_headers_sent()
        request.write(response.data)


def main() -> None:
    """Listens on the first address argument and forwards to the second."""
    host, _, port = sys.argv[1].rpartition(":")
    PassThroughServer((host, int(port)), sys.argv[2]).safe_start()


if __name__ == "__main__":
    main()
