"""Even use of the servers by proxies that cannot talk to each other."""
