"""Rate limits shared by all gateways: the policy language, its checks and the compiled decision."""
