"""What counts as undelivered on a connection that is closing."""

from __future__ import annotations

import fcntl
import unittest
from typing import Any
from unittest import mock

from lupinlink.net.clients.connection import ClientConnection


class Undelivered(unittest.TestCase):
    # Guards against: a stop outlasts the kill as the ends of closed connections are acknowledged late.
    def test_the_end_of_sending_is_no_byte_that_a_client_is_owed(self) -> None:
        connection: Any = ClientConnection.__new__(ClientConnection)
        connection.transport = mock.Mock(dataBuffer=b"", offset=0, _tempDataLen=0)
        for closing, pending, queued, owed in (
            (True, b"", 1, 0.0),
            (True, b"", 101, 100.0),
            (True, b"", 0, 0.0),
            (False, b"", 1, 1.0),
            (True, b"xx", 1, 3.0),  # the end is not sent yet
        ):
            connection._closing, connection.transport.dataBuffer = closing, pending
            with mock.patch.object(fcntl, "ioctl", return_value=queued.to_bytes(4, "little")):
                self.assertEqual(connection._unread_by_client(), owed)
