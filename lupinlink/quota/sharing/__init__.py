"""Quotas that hold over all gateways together: slices for a time, dealt by one allocator, and a floor."""
