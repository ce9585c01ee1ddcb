"""The fleet rig: hundreds of real proxy processes, what stands round them, and faults between them."""
