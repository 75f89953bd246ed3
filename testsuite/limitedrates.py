"""Counts the requests that reach servers that name a limit, as the users' rule does."""

CONTACT_S = 3.0  # from a server's first naming until the rule holds
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5


def allowed(limit):
    """Returns how many requests may reach a server in any window."""
    return int(EXCESS * limit * WINDOW_S) + SLACK


def most_in_a_window(arrivals, begin, end=float("inf")):
    """Returns the most arrivals in any window from begin to end."""
    times = sorted(at for at in list(arrivals) if begin <= at <= end)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
