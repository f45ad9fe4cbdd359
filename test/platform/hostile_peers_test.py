"""Strangers at the port between nodes, against real nodes: none ends or outgrows the holder or keeps other nodes out.

Checked as in hostile_clients_test.py. While the crowd is connected, an ordinary job is accepted at the holder, at a node
that was connected before the crowd and at one that starts after it: both reach the holder through that port. Needs a
built camphormux-node, whose path is in CAMPHORMUX_NODE.
"""
import os
import resource
import socket
import struct
import sys
import tempfile
import time
import unittest

import hostile_clients_test as clients
from hostile_clients_test import DESCRIPTORS, MEMORY_MB, QUEUE, fleet

JOB = 0x3E94A7D15C6B2080
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, CONTINUATION = 0, 1, 3, 4, 6, 9
END_STREAM, ACK, END_HEADERS = 1, 1, 4
FRAME = 16_384
INITIAL_WINDOW_SIZE = 4


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def field(name, value):
    """A literal field without indexing; name and value have less than 127 bytes."""
    return b"\0" + bytes([len(name)]) + name + bytes([len(value)]) + value


def head(path):
    return (field(b":method", b"POST") + field(b":scheme", b"http") + field(b":path", path)
            + field(b":authority", b"node.example"))


def streams(count, rest=lambda stream: b"", flags=END_HEADERS, path=b"/ping"):
    fields = head(path)
    return b"".join(frame(HEADERS, flags, stream, fields) + rest(stream) for stream in range(1, 2 * count, 2))


HELLO = PREFACE + frame(SETTINGS, 0, 0)
READY = HELLO + frame(SETTINGS, ACK, 0)
NO_WINDOW = PREFACE + frame(SETTINGS, 0, 0, struct.pack(">HI", INITIAL_WINDOW_SIZE, 0)) + frame(SETTINGS, ACK, 0)


class HostilePeersTest(unittest.TestCase):
    accepts_a_job = clients.HostileClientsTest.accepts_a_job
    look = clients.HostileClientsTest.look
    peak_memory_mb = clients.HostileClientsTest.peak_memory_mb
    connect_crowd = clients.HostileClientsTest.crowd

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.system = fleet.Fleet(folder.name, 3, {"venue-desk": 1}, limits={"memoryMb": MEMORY_MB,
                                                                             "maxFds": DESCRIPTORS})
        self.addCleanup(self.system.close)
        self.node, self.early, self.late = self.system.nodes
        self.system.configure(1, {QUEUE: "venue-desk"})
        for name in self.system.runners:
            self.system.start_runner(name)
        self.system.start_node(self.node)
        self.assertTrue(self.system.wait_for(20, lambda: self.system.holder() == self.node), "no holder")
        self.system.start_node(self.early)
        self.process = self.system.processes[self.node]
        self.most_descriptors = 0
        self.jobs = iter(range(JOB, JOB + 100))
        self.assertTrue(self.accepts_a_job_at(self.early), "no ordinary job was accepted before the crowd")

    def accepts_a_job_at(self, node):
        nodes, self.system.nodes = self.system.nodes, {node: self.system.nodes[node]}
        try:
            return self.accepts_a_job(next(self.jobs))
        finally:
            self.system.nodes = nodes

    def processor_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def crowd(self, payloads, receive_buffer=None):
        return self.connect_crowd(payloads, "peer", receive_buffer)

    def expect_unharmed(self):
        self.look()
        alive = self.process.poll() is None
        self.system.start_node(self.late)
        accepted = {node: alive and self.accepts_a_job_at(node) for node in (self.node, self.early, self.late)}
        self.look()
        peak = self.peak_memory_mb() if self.process.poll() is None else 0
        print(f"{self.id().split('.')[-1]}: peak {peak:.1f} MB, {self.most_descriptors} descriptors, jobs at "
              f"holder, early, late node: {list(accepted.values())}, alive: {self.process.poll() is None}",
              file=sys.stderr)
        self.assertIsNone(self.process.poll(), "the process ended")
        self.assertEqual(self.system.holder(), self.node, "the holder lost its ownership")
        self.assertEqual([node for node in accepted if not accepted[node]], [], "no ordinary job was accepted")
        self.assertLessEqual(peak, MEMORY_MB)
        self.assertLessEqual(self.most_descriptors, DESCRIPTORS)

    def test_bodies_that_stop_short(self):
        """Guards against unfinished bodies of many streams that take all memory."""
        body = b"x" * FRAME
        self.crowd([READY + streams(12, lambda stream: frame(DATA, 0, stream, body) * 16)] * 40)
        self.expect_unharmed()

    def test_many_streams_without_a_body(self):
        """Guards against data kept for each of many open streams."""
        self.crowd([READY + streams(1_000, lambda stream: frame(DATA, 0, stream, b"x"))] * 400)
        self.expect_unharmed()

    def test_silent_connections(self):
        """Guards against silent connections that keep other nodes out or take all descriptors."""
        self.crowd([b"", PREFACE[:9], HELLO] * 250)
        self.expect_unharmed()

    def test_heads_without_end(self):
        """Guards against parts of a head that are read for ever."""
        part = field(b"note", b"x" * 100) * 150
        self.crowd([READY + frame(HEADERS, 0, 1, head(b"/ping")) + frame(CONTINUATION, 0, 1, part) * 60] * 50
                   + [READY + frame(HEADERS, 0, 1, head(b"/ping")) + frame(CONTINUATION, 0, 1) * 100_000] * 50)
        self.expect_unharmed()

    def test_answers_that_may_not_be_sent(self):
        """Guards against answers that are held for streams without a window."""
        self.crowd([NO_WINDOW + streams(1_000, flags=END_HEADERS | END_STREAM)] * 400, receive_buffer=2_048)
        self.expect_unharmed()

    def test_answers_that_are_not_read(self):
        """Guards against frames that are queued for connections that do not read, whatever causes them."""
        many = streams(40_000, flags=END_HEADERS | END_STREAM)
        self.crowd([READY + many] * 10 + [HELLO + streams(40_000)] * 10
                   + [READY + frame(PING, 0, 0, b"12345678") * 100_000] * 10, receive_buffer=2_048)
        self.expect_unharmed()

    def test_streams_that_are_reset_at_once(self):
        """Guards against work and data for streams that were given up."""
        reset = struct.pack(">I", 8)
        self.crowd([READY + streams(20_000, lambda stream: frame(RST_STREAM, 0, stream, reset))] * 20)
        self.expect_unharmed()

    def test_connections_that_are_reset_at_once(self):
        """Guards against an acceptor that ends on an error and against data kept for ended connections."""
        address = (fleet.IP, self.system.nodes[self.node]["peer"])
        for i in range(3_000):
            with socket.create_connection(address, timeout=5) as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                if i % 2:
                    client.send(READY + streams(3))
            if i % 100 == 0:
                self.look()
        self.expect_unharmed()

    def test_no_descriptor_left(self):
        """Guards against a node that ends, or does nothing else any more, when accept fails."""
        number, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        self.look()
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.most_descriptors + 30, hard))
        crowd = self.crowd([HELLO] * 200)
        begun, used = time.monotonic(), self.processor_seconds()
        time.sleep(2)
        busy = (self.processor_seconds() - used) / (time.monotonic() - begun)
        crowd.close()
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (number, hard))
        self.expect_unharmed()
        print(f"share of a processor without descriptors: {busy:.2f}", file=sys.stderr)
        self.assertLess(busy, 0.5, "accept is tried again at once")


if __name__ == "__main__":
    unittest.main()
