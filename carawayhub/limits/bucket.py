"""A token bucket whose rate and depth may change while it is in use."""


class TokenBucket:
    """Tokens that accrue over time and are spent by requests.

    Attributes:
        rate: Tokens per second.
        depth: Maximum number of tokens.
    """

    __slots__ = ("_tokens", "_updated_at", "depth", "rate")

    def __init__(self, rate: float, depth: float, tokens: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self._tokens = min(tokens, depth)
        self._updated_at = now

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; tokens beyond the new depth are dropped, none are added."""
        self._accrue(now)
        self.rate = rate
        self.depth = depth
        self._tokens = min(self._tokens, depth)

    def available(self, now: float) -> float:
        """Return the tokens that are available now."""
        self._accrue(now)
        return self._tokens

    def add(self, tokens: float, now: float) -> None:
        """Add tokens in addition to those that accrue."""
        self._accrue(now)
        self._tokens = min(self.depth, self._tokens + tokens)

    def spend(self, tokens: float, now: float) -> bool:
        """Spend tokens if enough are available; return whether they were."""
        self._accrue(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def seconds_until(self, tokens: float, now: float) -> float | None:
        """Return the seconds until ``tokens`` are available, None if never at this rate."""
        missing = tokens - self.available(now)
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else None

    def _accrue(self, now: float) -> None:
        if now > self._updated_at:
            self._tokens = min(self.depth, self._tokens + self.rate * (now - self._updated_at))
            self._updated_at = now
