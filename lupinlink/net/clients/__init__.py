"""Clients: the listener and the HTTP/1.1 that clients speak with it."""

from lupinlink.net.clients.accepting import Clients, Listener
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.requests import Client

__all__ = ["Client", "Clients", "Listener", "Phase"]
