"""Limits on client connections and on the admitted load. Performs no I/O; the caller passes the current time."""
