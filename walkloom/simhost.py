"""Hosts balancer instances on the simulator's wire: python -m walkloom.simhost. It decides nothing."""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from walkloom import wire
from walkloom.decide import Balancer

_LENGTH = struct.Struct(">I")


class Host:
    """The instances of this process, each with a state of its own."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        now, events = self._decoder.batch(frame)
        records: list[bytes] = []
        instances = self._instances
        for inst, event in events:
            try:
                if isinstance(event, wire.Attach):
                    profile = wire.Profile(wire.lines_of(event.profile))
                    instances[inst] = Balancer(wire.settings(profile), event.seed)
                elif isinstance(event, wire.Halt):
                    instances.pop(inst, None)
                elif inst in instances and not isinstance(event, wire.PeerMessageReceived):
                    wire.encode(records, inst, instances[inst].handle(event, now))
            except Exception as error:  # one instance's failure is reported as its own
                instances.pop(inst, None)
                where = traceback.format_exc(limit=-3)
                records.append(wire.bug(inst, f"{type(error).__name__}: {error} on {event!r:.300}\n{where}"))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    number = 0
    while head := source.read(4):
        if len(head) < 4:
            raise wire.WireError(f"batch {number}: stream ends within the length field")
        (length,) = _LENGTH.unpack(head)
        frame = source.read(length)
        if len(frame) < length:
            raise wire.WireError(f"batch {number}: stream ends after {len(frame)} of {length} bytes")
        try:
            out = host.answer(frame)
        except wire.WireError as error:
            raise wire.WireError(f"batch {number}: {error}") from error
        sink.write(out)
        sink.flush()
        number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"walkloom: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
