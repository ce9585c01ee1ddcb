"""The real proxy's network side: sockets in, events to the decisions, their actions out."""
