"""Callers that read streams and take them up at other entries."""

import http.client
import socket
import threading

from platformdeployment import Client


class Stream:
    """A caller that reads a stream until it ends or breaks off."""

    def __init__(self, entry, path, **options):
        self.client = Client(entry)
        self.request = self.client.send(path, **options)
        self.status, self.body, self.complete = 0, b"", False
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        try:
            response = self.client.connection.getresponse()
            self.status = response.status
            while piece := response.read1(65536):
                self.body += piece
            self.complete = True
        except (http.client.HTTPException, OSError):
            pass  # It broke off.

    def last_event(self):
        """Returns the id of the last whole event, 0 without one."""
        whole = self.body.decode().split("\n\n")[:-1]
        return int(whole[-1].split("\n")[0].removeprefix("id: ")) if whole else 0

    def leave(self):
        """Closes the connection, as a caller does that waits no longer."""
        try:
            self.client.connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # It has ended.
        self.thread.join()

    def take_up(self, entry, first_request, path="/ask/x", extra=None):
        """Returns a stream that goes on behind this one."""
        return Stream(entry, path, extra={
            "Last-Event-Id": str(self.last_event()), "Resumes": first_request, **(extra or {})})


def versions_of(deployment, *requests):
    """Returns the versions of the engines that ran requests with these ids."""
    return {
        engine.version for engine in deployment.engines for run in engine.runs
        if run["headers"]["Attempt-Id"] in requests}


def kill(node):
    node.popen.kill()
    node.popen.wait()


def remove_stored_streams(deployment):
    """The store loses what it holds about streams."""
    for key in [key for key in deployment.store.items if key.startswith("streams/")]:
        deployment.store.remove(key)


def joined(deployment, pairs):
    return [
        (first.request, again.request) for first, again in pairs
        if len(versions_of(deployment, first.request, again.request)) > 1]


def went_on(pairs, event_count):
    return sum(again.status == 200 and again.complete and again.last_event() == event_count for _, again in pairs)
