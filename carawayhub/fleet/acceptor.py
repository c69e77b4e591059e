"""Passes versions from the synchronisation to ``HighWater``, which decides on them."""

from collections.abc import Callable

import anyio.to_thread

from carawayhub.codes import Code
from carawayhub.config.files import ConfigFile
from carawayhub.config.problem import ConfigRefusedError
from carawayhub.config.version import Accepted, Conflict, HighWater, Older, Refused, Same, Verdict
from carawayhub.errors import ConfigError


class HighWaterAcceptor:
    """Offers each complete version to ``HighWater``.

    Args:
        high_water: Holds the version in force; no other caller may offer versions to it.
        decided: Called with each verdict, in the event loop.
    """

    __slots__ = ("_decided", "_high_water")

    def __init__(self, high_water: HighWater, decided: Callable[[Verdict], None]) -> None:
        self._high_water = high_water
        self._decided = decided

    async def accept(self, version: int, files: tuple[ConfigFile, ...]) -> None:
        """Check a version and put it in force; see ``carawayhub.fleet.ports.Acceptor``."""
        if self._high_water.is_costly(files):
            verdict = await anyio.to_thread.run_sync(self._high_water.offer, version, files)
        else:
            verdict = self._high_water.offer(version, files)
        self._decided(verdict)
        match verdict:
            case Accepted() | Same() | Conflict(adopted=True):
                return
            case Older(in_force=in_force):
                raise ConfigError(Code.CONFIG_OLDER_VERSION, f"{version} after {in_force}")
            case Conflict():
                raise ConfigError(Code.CONFIG_VERSION_CONFLICT, f"version {version}")
            case Refused(problems=problems):
                raise ConfigRefusedError(problems)
