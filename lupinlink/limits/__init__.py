"""Limits on client connections and on the admitted load; performs no I/O."""
