"""Handover from an old process of a proxy to its successor during an upgrade."""
