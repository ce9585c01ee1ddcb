"""Network side of the proxy: turns socket events into events of the decision module, and performs its actions."""
