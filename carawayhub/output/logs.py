"""Logs: one JSON object a line, with the request's id where a line concerns a request."""

import logging
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def configure_logs(stream: TextIO, level: str, process: str) -> None:
    """Send all log lines of this process to ``stream`` as JSON lines.

    Args:
        stream: Where the lines go.
        level: Least level that is written, for example ``INFO``.
        process: Name of this process, carried by every line.
    """

    def write(message: "Message") -> None:
        stream.write(_line(message, process))
        stream.flush()

    logger.remove()
    logger.add(write, level=level.upper(), format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LibraryLines()], level=logging.WARNING, force=True)


class _LibraryLines(logging.Handler):
    """Sends what libraries log the same way, so that each line stays one JSON object."""

    def emit(self, record: logging.LogRecord) -> None:
        exc = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=exc).bind(library=record.name).log(
            record.levelname, record.getMessage()
        )


def _line(message: "Message", process: str) -> str:
    record = message.record
    moment = datetime.fromtimestamp(record["time"].timestamp(), UTC)
    line = {
        "time": moment.isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "process": process,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=str).decode() + "\n"


def quiet_logs() -> None:
    """Write only errors, for commands whose output people read."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR", format="{message}")
