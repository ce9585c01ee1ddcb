"""The client side: the listener and the HTTP/1.1 connections of clients."""

from lupinlink.net.clients.listener import Clients, Listener
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.requests import Http1ClientConnection

__all__ = ["Clients", "Http1ClientConnection", "Listener", "Phase"]
