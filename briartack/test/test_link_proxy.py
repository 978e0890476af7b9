"""Test the loopback proxy that disturbs the streams between daemons.

A proxy without effect would let a soak pass whatever the daemons do.
"""

import unittest
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from nose2.tools import params

from standins.link_proxy import LinkProxy
from standins.processes import LOOPBACK, PortAllocator

WAIT_SECONDS = 0.5


class LinkProxyTest(unittest.TestCase):
    def setUp(self) -> None:
        ports = PortAllocator()
        self.addCleanup(ports.release)
        self.received: list[bytes] = []
        target = StreamServer((LOOPBACK, 0), self.serve)
        target.start()
        self.addCleanup(target.stop)
        self.address = ports.reserve_address()
        self.proxy = LinkProxy(
            address=self.address, target=f'{LOOPBACK}:{target.server_port}'
        )
        self.proxy.start()
        self.addCleanup(self.proxy.stop)

    def serve(self, sock: Any, address: object) -> None:
        """Echo what arrives."""
        while part := sock.recv(100):
            self.received.append(part)
            sock.sendall(part)

    def connect(self) -> Any:
        """Return a stream through the proxy on which an echo has come."""
        host, _, port = self.address.rpartition(':')
        sock = socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        sock.settimeout(WAIT_SECONDS)
        return sock

    # Each row states the fault, and whether bytes arrive there and back.
    @params(
        ('', True, True),
        ('hang', False, False),
        ('one-way', True, False),
        ('silence', False, False),
    )
    def test_fault_holds_up_bytes(
        self, fault: str, is_forwarded: bool, is_returned: bool
    ) -> None:
        sock = self.connect()
        sock.sendall(b'a')
        self.assertEqual(sock.recv(1), b'a')
        self.received.clear()
        if fault == 'silence':
            self.proxy.silence_links()
        else:
            self.proxy.fault = fault
        sock.sendall(b'b')
        if is_returned:
            self.assertEqual(sock.recv(1), b'b')
        else:
            self.assertRaises(TimeoutError, sock.recv, 1)
        self.assertEqual(self.received, [b'b'] if is_forwarded else [])
        self.proxy.fault = ''
        if fault != 'silence':
            return
        new = self.connect()
        new.sendall(b'c')
        self.assertEqual(new.recv(1), b'c')

    def test_cut_resets_open_and_new_streams(self) -> None:
        sock = self.connect()
        sock.sendall(b'a')
        sock.recv(1)
        self.proxy.fault = 'cut'
        self.proxy.reset_links()
        self.assertRaises(ConnectionResetError, sock.recv, 1)
        new = self.connect()
        gevent.sleep(0)
        with self.assertRaises(OSError):
            new.sendall(b'b')
            if not new.recv(1):
                raise ConnectionResetError
