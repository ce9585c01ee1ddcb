"""The emulator's truth, without I/O: servers, roster, clients, network, faults and the referee.

Time, randomness and delivery are handed in: a ``Clock`` gives the time and calls back, a ``Streams`` the
chance, and the parts speak to each other by calls. Times are milliseconds.
"""
