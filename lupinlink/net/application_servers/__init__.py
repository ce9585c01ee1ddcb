"""Application servers: their connection pools and the attempts that travel on them."""

from lupinlink.net.application_servers.outcomes import outcome, read_report
from lupinlink.net.application_servers.pools import ApplicationServers

__all__ = ["ApplicationServers", "outcome", "read_report"]
