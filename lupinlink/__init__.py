"""lupinlink: an HTTP/1.1 proxy whose load balancing decisions are made by a separate module."""

__version__ = "0.2.0"
