"""The laboratory: a model of what stands round the proxies, the drives that play it, and what they report."""
