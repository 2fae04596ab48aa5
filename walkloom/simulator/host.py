"""Runs balancers on the simulator's wire: python -m walkloom.simulator.host. It takes no decisions."""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from walkloom.balancer import Balancer
from walkloom.simulator.decoder import Decoder, InstanceEvent
from walkloom.simulator.encoder import encode_actions, encode_failure, encode_reply
from walkloom.simulator.errors import WireError
from walkloom.simulator.records import InstanceStarted, InstanceStopped, PeerMessageReceived
from walkloom.simulator.settings import SettingsReader, parse_settings_lines, read_settings

_FRAME_LENGTH = struct.Struct(">I")
_TRACEBACK_FRAMES = -3  # negative: the innermost frames
_EXIT_MALFORMED_INPUT = 2


class Host:
    """The balancers of this process, each with its own state."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._balancers: dict[int, Balancer] = {}

    def answer(self, frame: bytes) -> bytes:
        """Return the reply to one batch. Raises WireError if the frame is malformed."""
        batch = self._decoder.decode_batch(frame)
        records: list[bytes] = []
        for instance, event in batch.events:
            try:
                self._handle(records, InstanceEvent(instance, event), batch.now)
            except Exception as error:  # noqa: BLE001 - reported as a failure of this balancer only
                self._balancers.pop(instance, None)
                trace = traceback.format_exc(limit=_TRACEBACK_FRAMES)
                text = f"{type(error).__name__}: {error} on {event!r:.300}\n{trace}"
                records.append(encode_failure(instance, text))
        return encode_reply(records)

    def _handle(self, records: list[bytes], instance_event: InstanceEvent, now: float) -> None:
        instance, event = instance_event
        if isinstance(event, InstanceStarted):
            reader = SettingsReader(parse_settings_lines(event.settings_text))
            self._balancers[instance] = Balancer(read_settings(reader), event.seed)
        elif isinstance(event, InstanceStopped):
            self._balancers.pop(instance, None)
        elif instance in self._balancers and not isinstance(event, PeerMessageReceived):
            actions = self._balancers[instance].handle(event, now)
            encode_actions(records, instance, actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises WireError, whose text names the batch."""
    host = Host()
    number = 0
    while header := source.read(_FRAME_LENGTH.size):
        if len(header) < _FRAME_LENGTH.size:
            raise WireError(f"batch {number}: stream ends within the length field")
        (length,) = _FRAME_LENGTH.unpack(header)
        frame = source.read(length)
        if len(frame) < length:
            raise WireError(f"batch {number}: stream ends after {len(frame)} of {length} bytes")
        try:
            reply = host.answer(frame)
        except WireError as error:
            raise WireError(f"batch {number}: {error}") from error
        sink.write(reply)
        sink.flush()
        number += 1


def main() -> int:
    """Serve standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"walkloom: {error}", file=sys.stderr)
        return _EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
