"""The files that people write: what they may hold, and what is said of one that is wrong."""
