"""Logging as JSON lines, with the request's id where a line concerns a request."""

import logging
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


class LineStream(Protocol):
    """Destination of log lines: a text stream or a non-blocking one."""

    def write(self, line: str, /) -> object:
        """Write a line."""

    def flush(self) -> None:
        """Forward buffered output."""


def configure_logs(stream: LineStream, level: str, process: str) -> None:
    """Send all log lines of this process to ``stream`` as JSON lines.

    Args:
        stream: Destination of the lines.
        level: Minimum level to write, for example ``INFO``.
        process: Name of this process, included in every line.
    """

    def write(message: "Message") -> None:
        stream.write(_format_line(message, process))
        stream.flush()

    logger.remove()
    logger.add(write, level=level.upper(), format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True)


class _LibraryLogHandler(logging.Handler):
    """Routes log records of libraries through loguru, so that they are written as JSON too."""

    def emit(self, record: logging.LogRecord) -> None:
        exc = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=exc).bind(library=record.name).log(_level(record), _text(record))


def _level(record: logging.LogRecord) -> str | int:
    """Return the level's name, or its number for a custom level that loguru does not know."""
    try:
        return logger.level(record.levelname).name
    except ValueError:
        return record.levelno


def _text(record: logging.LogRecord) -> str:
    """Return the formatted message, or the raw one if its arguments do not match."""
    try:
        return record.getMessage()
    except (TypeError, ValueError):
        return str(record.msg)


def _format_line(message: "Message", process: str) -> str:
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
    return _encode_line(line).decode() + "\n"


def _encode_line(line: dict[str, Any]) -> bytes:
    """Return the line as JSON, with values that JSON cannot represent as text.

    A line that failed to encode would be lost, and ``loguru`` would print a traceback instead.
    """
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return msgspec.json.encode({key: ascii(value) for key, value in line.items()})


def quiet_logs() -> None:
    """Log only errors, for commands with human-readable output."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR", format="{message}")
