"""Coordination between processes: versioned records, compare-and-set, leases, fencing tokens and watches."""
