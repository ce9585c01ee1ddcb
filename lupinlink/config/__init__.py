"""Reads and validates the fleet file."""
