"""HTTP on raw sockets for stand-ins, which must be able to send malformed and misplaced answers."""

import socket
import threading


def listen():
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(("127.0.0.1", 0))
    server.listen(64)
    return server


def read_head(connection, data):
    """Returns (method, target, headers, unread data), or None when the connection ends."""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    return method, target, [line.split(": ", 1) for line in lines[1:]], data


def body_length(headers):
    return int(next((value for name, value in headers if name.lower() == "content-length"), "0"))


def read_request(connection, data):
    """Returns (method, target, headers, body, unread data), or None when the connection ends."""
    head = read_head(connection, data)
    if head is None:
        return None
    method, target, headers, data = head
    length = body_length(headers)
    while len(data) < length:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    return method, target, headers, data[:length], data[length:]


def format_answer(status, headers, body):
    """Returns the bytes of an HTTP answer."""
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % header for header in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections and runs serve() for each of them in a thread of its own."""

    def __init__(self):
        self.server = listen()
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve_and_close, args=(connection,), daemon=True).start()

    def serve_and_close(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass  # The peer disconnected, which some cases do on purpose.
        connection.close()

    def close(self):
        self.server.close()
        for connection in self.connections:
            connection.close()
