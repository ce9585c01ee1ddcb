"""lupinlink: an HTTP proxy around the decisions of a small bank of proxies."""

__version__ = "0.2.0"
