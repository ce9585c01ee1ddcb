"""A fleet of gateways that share quotas, in simulated time: the real agents over the agreement in memory."""
