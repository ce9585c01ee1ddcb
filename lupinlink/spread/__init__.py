"""Spreads requests and keys evenly over the servers, without communication between the proxies."""
