"""Retry budget: a token bucket that first sends fill.

>>> from siskintally.retry import RetryBudget
>>> budget = RetryBudget(ratio=0.5)
>>> budget.take()
False
>>> budget.sent(); budget.sent(); budget.take(), budget.take()
(True, False)
"""

# Bounds a burst of retries after a long time without any.
MAX_TOKENS = 50.0


class RetryBudget:
    """Allows retries up to a ratio of the first sends; it starts empty, so the ratio always holds.

    :param ratio: retries per first send.
    """

    __slots__ = ("_tokens", "ratio")

    def __init__(self, *, ratio):
        self.ratio = ratio
        self._tokens = 0.0

    def sent(self):
        """Count a first send."""
        self._tokens = min(self._tokens + self.ratio, MAX_TOKENS)

    def take(self):
        """Take a token for one retry.

        :returns: whether the retry is allowed.
        """
        # Ten additions of 0.1 give slightly less than 1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
