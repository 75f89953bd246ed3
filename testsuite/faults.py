"""What the cases about faults share: background callers, streams read step by step, a relay."""

import http.client
import json
import select
import socket
import threading

from harness import ask, check, wait_until

TOKEN = "token-ganga"
LANGUAGE = "camp-language"
BOOKING = "camp-booking"
SERVICE = "summarise-manifest"


def check_whole(answer, tokens, what):
    """The answer is a stream with each of the engine's words once and in order."""
    check(answer.status == 200 and answer.complete, "%s: %d %r" % (what, answer.status, answer.body[-300:]))
    words = []
    for line in answer.body.decode().split("\n\n"):
        if line.startswith("data: {"):
            words += [choice["text"] for choice in json.loads(line[6:])["choices"]]
    check([int(word.split(":")[1]) for word in words] == list(range(tokens)), what + ": every word once")
    check(answer.body.endswith(b"data: [DONE]\n\n"), what + ": the engine's last event")


class Caller(threading.Thread):
    """One request in the background. answer is None when the connection broke before a head."""

    def __init__(self, send, *arguments, **named):
        super().__init__()
        self.call = lambda: send(*arguments, **named)
        self.answer = None
        self.start()

    def run(self):
        try:
            self.answer = self.call()
        except (ConnectionError, http.client.HTTPException):
            pass

    def result(self):
        self.join(120)
        check(not self.is_alive(), "the caller got an end")
        return self.answer


def stream(entry, prompt, tokens):
    return Caller(ask, entry, SERVICE, prompt, max_tokens=tokens, stream=True)


class Load:
    """Callers that ask one after the other until they are told to stop."""

    def __init__(self, entry, count, tokens):
        self.entry = entry
        self.tokens = tokens
        self.stopping = threading.Event()
        self.answers = []
        self.callers = [Caller(self.loop, i) for i in range(count)]

    def loop(self, number):
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            prompt = "load %d %d" % (number, turn)
            self.answers.append(ask(self.entry, SERVICE, prompt, max_tokens=self.tokens, stream=True))

    def wait_for_more(self, count):
        wanted = len(self.answers) + count
        wait_until(lambda: len(self.answers) >= wanted, "load goes on", 60)

    def finish(self):
        """Ends the load and checks that every answer was whole."""
        self.stopping.set()
        for caller in self.callers:
            caller.result()
        for answer in self.answers:
            check_whole(answer, self.tokens, "an answer under load")
        return len(self.answers)


class Relay:
    """Forwards TCP. After silence() the connections of that time stay open and carry nothing."""

    def __init__(self, address):
        host, port = address.split(":")
        self.target = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.silenced = threading.Event()
        self.accepted = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def address(self):
        return "127.0.0.1:%d" % self.listener.getsockname()[1]

    def silence(self):
        self.silenced.set()
        self.silenced = threading.Event()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target)
            except OSError:
                near.close()
                continue
            self.accepted += 1
            threading.Thread(
                target=self.forward, args=(near, far, self.silenced), daemon=True
            ).start()

    @staticmethod
    def forward(near, far, silenced):
        while True:
            readable, _, _ = select.select([near, far], [], [], 0.02)
            if silenced.is_set():
                threading.Event().wait()
            try:
                for source in readable:
                    data = source.recv(65536)
                    if not data:
                        raise ConnectionError("closed")
                    (far if source is near else near).sendall(data)
            except ConnectionError:
                near.close()
                far.close()
                return
