"""Helpers of the fault cases: background callers, background load and a TCP relay that stalls."""

import http.client
import json
import select
import socket
import threading

from harness import send_completion, check, wait_until

TOKEN = "token-ganga"
LANGUAGE_POOL = "camp-language"
BOOKING_POOL = "camp-booking"
SERVICE = "summarise-manifest"


def check_complete_stream(answer, tokens, what):
    """Checks that a streamed answer is complete and has each of the engine's words once, in order."""
    check(answer.status == 200 and answer.complete, "%s: %d %r" % (what, answer.status, answer.body[-300:]))
    words = []
    for line in answer.body.decode().split("\n\n"):
        if line.startswith("data: {"):
            words += [choice["text"] for choice in json.loads(line[6:])["choices"]]
    check([int(word.split(":")[1]) for word in words] == list(range(tokens)), what + ": every word once and in order")
    check(answer.body.endswith(b"data: [DONE]\n\n"), what + ": the stream ends with the engine's last event")


class BackgroundCaller(threading.Thread):
    """Runs one call in a thread. answer is None if the connection broke before the response head."""

    def __init__(self, send, *arguments, **options):
        super().__init__()
        self.call = lambda: send(*arguments, **options)
        self.answer = None
        self.start()

    def run(self):
        try:
            self.answer = self.call()
        except (ConnectionError, http.client.HTTPException):
            pass

    def result(self):
        """Waits for the end of the call and returns its answer."""
        self.join(120)
        check(not self.is_alive(), "the background call ends")
        return self.answer


def start_stream(entry, prompt, tokens):
    """Starts a caller of a streamed answer in the background."""
    return BackgroundCaller(send_completion, entry, SERVICE, prompt, max_tokens=tokens, stream=True)


class BackgroundLoad:
    """Background callers, each of which sends one request after another until finish()."""

    def __init__(self, entry, count, tokens):
        self.entry = entry
        self.tokens = tokens
        self.stopping = threading.Event()
        self.answers = []
        self.callers = [BackgroundCaller(self.send_until_stopped, i) for i in range(count)]

    def send_until_stopped(self, caller_number):
        sequence = 0
        while not self.stopping.is_set():
            sequence += 1
            prompt = "load %d %d" % (caller_number, sequence)
            self.answers.append(send_completion(self.entry, SERVICE, prompt, max_tokens=self.tokens, stream=True))

    def wait_for_more(self, count):
        """Waits until the callers have received count further answers."""
        wanted_count = len(self.answers) + count
        wait_until(lambda: len(self.answers) >= wanted_count, "further answers under load", 60)

    def finish(self):
        """Stops the callers, checks that every answer is complete and returns how many came."""
        self.stopping.set()
        for caller in self.callers:
            caller.result()
        for answer in self.answers:
            check_complete_stream(answer, self.tokens, "an answer under load")
        return len(self.answers)


class Relay:
    """Forwards TCP. stall() leaves the current connections open but stops forwarding on them."""

    def __init__(self, address):
        host, port = address.split(":")
        self.target = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.stalled = threading.Event()
        self.accepted = 0
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def address(self):
        return "127.0.0.1:%d" % self.listener.getsockname()[1]

    def stall(self):
        self.stalled.set()
        self.stalled = threading.Event()

    def accept_connections(self):
        while True:
            downstream, _ = self.listener.accept()
            try:
                upstream = socket.create_connection(self.target)
            except OSError:
                downstream.close()
                continue
            self.accepted += 1
            threading.Thread(
                target=self.forward, args=(downstream, upstream, self.stalled), daemon=True
            ).start()

    @staticmethod
    def forward(downstream, upstream, stalled):
        """Copies data both ways. Once stalled is set, it blocks and leaves both connections open."""
        while True:
            readable, _, _ = select.select([downstream, upstream], [], [], 0.02)
            if stalled.is_set():
                threading.Event().wait()
            try:
                for source in readable:
                    data = source.recv(65536)
                    if not data:
                        raise ConnectionError("closed")
                    (upstream if source is downstream else downstream).sendall(data)
            except ConnectionError:
                downstream.close()
                upstream.close()
                return
