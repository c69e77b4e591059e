"""Exceptions; each carries the numbered code of its result."""

from carawayhub.codes import Code, Meaning, Outcome, meaning


class CarawayhubError(Exception):
    """Base of all errors of the product.

    Attributes:
        code: The numbered result.
        detail: What is particular to this case.
        retry_after: Seconds after which asking again is sensible, or None.
    """

    __slots__ = ("code", "detail", "retry_after")

    def __init__(self, code: Code, detail: str = "", retry_after: float | None = None) -> None:
        super().__init__(detail or meaning(code).text)
        self.code = code
        self.detail = detail
        self.retry_after = retry_after

    @property
    def meaning(self) -> Meaning:
        """What the code says."""
        return meaning(self.code)

    def __str__(self) -> str:
        text = self.meaning.text if not self.detail else f"{self.meaning.text}: {self.detail}"
        return f"{text} (code {int(self.code)})"


class RequestError(CarawayhubError):
    """A caller's request ends with a code instead of an endpoint's answer.

    Attributes:
        outcome: The answer class the caller is told, that of the code unless it was lowered.
    """

    __slots__ = ("outcome",)

    def __init__(self, code: Code, detail: str = "", retry_after: float | None = None) -> None:
        super().__init__(code, detail, retry_after)
        self.outcome = meaning(code).outcome

    def unvouched(self) -> "RequestError":
        """Return the same error without the claim that the request was not run.

        For a request that may run once, "not run" speaks of its key or ticket. An entry that
        refuses one knows nothing of an attempt that the caller made through another entry.
        """
        lowered = RequestError(self.code, self.detail, self.retry_after)
        if lowered.outcome is Outcome.NOT_RUN:
            lowered.outcome = Outcome.UNKNOWN
        return lowered


class ConfigError(CarawayhubError):
    """A configuration version cannot be used."""

    __slots__ = ()


class PeerError(CarawayhubError):
    """A call between two of the system's processes failed."""

    __slots__ = ()


class PlatformError(CarawayhubError):
    """The platform could not be asked."""

    __slots__ = ()


class CommandError(CarawayhubError):
    """A command cannot do its work."""

    __slots__ = ()


class GroupError(CarawayhubError):
    """An order to a lock-step group or a change of its expert map failed."""

    __slots__ = ()
