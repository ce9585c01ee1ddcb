"""What processes agree on: records with revisions, compare-and-set, leases, fences and watches."""
