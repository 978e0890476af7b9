"""Test that memory of bodies goes back to the system once they are dropped.

The platform counts the resident memory, so memory that is free but resident
brings a daemon nearer to its limit with each burst.
"""

import subprocess
import sys
import unittest

BODY_BYTES = 100_000_000
# A program that holds a body in parts, keeps small objects between them, drops
# the parts, and prints how many bytes more are resident than before.
PROGRAM = """
import os
from pathlib import Path
from briartack.memory_budget import return_freed_blocks

def read_resident_bytes():
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')

return_freed_blocks()
bytes(30_000_000)
before = read_resident_bytes()
parts = []
kept = []
for _ in range({count}):
    parts.append(bytearray(b'x' * 65536))
    kept.append(bytearray(1000))
parts.clear()
print(read_resident_bytes() - before)
"""


class FreedMemoryTest(unittest.TestCase):
    # Guards against resident memory that does not come back after a burst of
    # bodies. Without the option, more than 100 MB stay.
    def test_dropped_parts_of_bodies_are_returned(self) -> None:
        ended = subprocess.run(
            [
                sys.executable,
                '-c',
                PROGRAM.format(count=BODY_BYTES // 65536),
            ],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertLess(int(ended.stdout), BODY_BYTES // 10)
