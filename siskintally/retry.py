"""Retry budget: a token bucket that each first attempt refills by a fraction of a token.

>>> from siskintally.retry import RetryBudget
>>> budget = RetryBudget(ratio=0.5)
>>> budget.try_take()
False
>>> budget.record_first_attempt(); budget.record_first_attempt()
>>> budget.try_take(), budget.try_take()
(True, False)
"""

# Limits the burst of retries after a long time without any.
MAX_TOKENS = 50.0


class RetryBudget:
    """Limits retries to a ratio of the first attempts; starts empty, so the ratio always holds.

    :param ratio: retries per first attempt.
    """

    __slots__ = ("_tokens", "ratio")

    def __init__(self, *, ratio):
        self.ratio = ratio
        self._tokens = 0.0

    def record_first_attempt(self):
        """Count a first attempt."""
        self._tokens = min(self._tokens + self.ratio, MAX_TOKENS)

    def try_take(self):
        """Consume a token for one retry if there is one.

        :returns: whether the retry is allowed.
        """
        # Tolerates rounding: ten additions of 0.1 give slightly less than 1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
