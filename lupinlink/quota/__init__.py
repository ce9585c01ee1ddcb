"""Limits of what is let in, held by all gateways together: a language, its checks, a compiled decision."""
