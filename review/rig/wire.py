"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import socket
import struct

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def field(headers, name, default=None):
    """Returns the first value of a header field, without regard to case."""
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_head(reader):
    """Returns the first line and the header fields of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    return lines[0], [tuple(line.split(": ", 1)) if ": " in line else (line.rstrip(":"), "") for line in lines[1:]]


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(field(head[1], "Content-Length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, head[1], body


def answer_head(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    return ("\r\n".join(lines + ["%s: %s" % header for header in headers]) + "\r\n\r\n").encode("latin-1")


def answer(status, headers, body=b""):
    """Returns the bytes of a whole answer with a length."""
    return answer_head(status, list(headers) + [("Content-Length", len(body))]) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer):
    """Ends a connection with a reset, as the end of a process does."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
