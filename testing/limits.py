"""The bound on the requests that an upstream gets that named a limit."""

WINDOW_S = 4.0
# In any window, more than this share of what the limit allows breaks the contract.
MAX_SHARE = 1.5
MAX_EXTRA = 5


# The settings of a deployment with cold upstreams, and the window of their bound.
COLD_SETTINGS = {"coldOverage": 1.5, "coldSlack": 5}
COLD_WINDOW_S = 1.0


def cold_allowed(cold_per_s):
    """Return how many requests a cold upstream may get in any second."""
    return COLD_SETTINGS["coldOverage"] * cold_per_s + COLD_SETTINGS["coldSlack"]


def allowed(limit_per_s):
    """Return how many requests the contract allows in a window."""
    return MAX_SHARE * WINDOW_S * limit_per_s + MAX_EXTRA


def most_in_window(times, window_s=WINDOW_S):
    """Return the largest number of ``times``, in seconds, within any window."""
    times = sorted(times)
    first = most = 0
    for last, time in enumerate(times):
        while times[first] <= time - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
