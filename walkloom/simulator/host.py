"""Hosts balancer instances on the simulator's wire: python -m walkloom.simulator.host. It decides nothing."""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from walkloom.policy import Balancer
from walkloom.simulator import codec

_LENGTH = struct.Struct(">I")


class Host:
    """The instances of this process, each with a state of its own."""

    def __init__(self) -> None:
        self._decoder = codec.Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        now, events = self._decoder.batch(frame)
        records: list[bytes] = []
        instances = self._instances
        for inst, event in events:
            try:
                if isinstance(event, codec.Attach):
                    profile = codec.SettingsReader(codec.parse_settings_lines(event.profile))
                    instances[inst] = Balancer(codec.settings(profile), event.seed)
                elif isinstance(event, codec.Halt):
                    instances.pop(inst, None)
                elif inst in instances and not isinstance(event, codec.PeerMessageReceived):
                    codec.encode(records, inst, instances[inst].handle(event, now))
            except Exception as error:  # one instance's failure is reported as its own
                instances.pop(inst, None)
                where = traceback.format_exc(limit=-3)
                records.append(codec.bug(inst, f"{type(error).__name__}: {error} on {event!r:.300}\n{where}"))
        return codec.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    number = 0
    while head := source.read(4):
        if len(head) < 4:
            raise codec.WireError(f"batch {number}: stream ends within the length field")
        (length,) = _LENGTH.unpack(head)
        frame = source.read(length)
        if len(frame) < length:
            raise codec.WireError(f"batch {number}: stream ends after {len(frame)} of {length} bytes")
        try:
            out = host.answer(frame)
        except codec.WireError as error:
            raise codec.WireError(f"batch {number}: {error}") from error
        sink.write(out)
        sink.flush()
        number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"walkloom: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
