"""Named listeners that move from one pool of proxies to another: states, rules, progress, and their agent."""
