"""lupinlink: the decisions of an HTTP load balancer that runs as a small bank of proxies."""
