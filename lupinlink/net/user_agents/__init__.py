"""User agents: the listener and the HTTP/1.1 that clients speak with it."""

from lupinlink.net.user_agents.accepting import Listener, UserAgents
from lupinlink.net.user_agents.phases import Phase
from lupinlink.net.user_agents.requests import UserAgent

__all__ = ["Listener", "Phase", "UserAgent", "UserAgents"]
