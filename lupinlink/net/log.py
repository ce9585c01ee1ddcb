"""Logging to standard error, one line of key=value pairs per record."""

from __future__ import annotations

import json
import logging
import math
import sys
import time
from collections.abc import Mapping

from twisted.python.log import PythonLoggingObserver

from lupinlink.settings import SettingsError

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def pair(key: str, value: object) -> str:
    """Format one pair; a value with spaces, quotes, ``=`` or unprintable characters is quoted as JSON."""
    text = str(value)
    plain = text and text.isprintable() and not any(c in text for c in ' "=')
    return f"{key}={text if plain else json.dumps(text)}"


class LineLimit:
    """Limits a warning to one line in ``interval_ms``, with the number of events since the last one."""

    def __init__(self, interval_ms: float = 1000.0) -> None:
        self._interval_ms = interval_ms
        self._next_at_ms = -math.inf
        self._events = 0

    def take(self, now_ms: float) -> int:
        """Count an event; returns how many the line is to tell, or 0 if none is due."""
        self._events += 1
        if now_ms < self._next_at_ms:
            return 0
        self._next_at_ms = now_ms + self._interval_ms
        events, self._events = self._events, 0
        return events


class KeyValueFormatter(logging.Formatter):
    """Formats time, level, proxy, source and message, then the record's pairs (``extra={"kv": {...}}``)."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "proxy": self._name,
            "source": record.name.removeprefix("lupinlink."),
            "msg": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(pair(k, v) for k, v in pairs.items())


def level_of(env: Mapping[str, str]) -> int:
    """The level named by LB_LOG, info by default; raises SettingsError for an unknown name."""
    word = env.get("LB_LOG") or "info"
    if word not in LEVELS:
        raise SettingsError(f"LB_LOG: {word!r} is none of {', '.join(LEVELS)}")
    return LEVELS[word]


def set_up(name: str, level: int = logging.INFO) -> None:
    """Send all log records of the process to standard error in this format; ``name``: the proxy's."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Otherwise exceptions that Twisted catches in protocols would not be logged.
    PythonLoggingObserver("twisted").start()  # type: ignore[no-untyped-call]
    logging.getLogger("twisted").setLevel(logging.WARNING)
