"""Initial packets of version 1: packet protection, and the packet with which a balancer rejects a client.

The format is defined in RFC 9000, section 17.2.2, the protection in RFC 9001, section 5. Needs the package
cryptography.
"""

from __future__ import annotations

from dataclasses import dataclass

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from walkloom.frontends.quic.datagram_reader import DatagramReader
from walkloom.frontends.quic.errors import PacketError
from walkloom.frontends.quic.frames import CONNECTION_REFUSED, build_connection_close
from walkloom.frontends.quic.initial_keys import InitialKeys, Sender, derive_initial_keys
from walkloom.frontends.quic.packet import (
    FIXED_BIT,
    HEADER_FORM_BIT,
    VERSION_1,
    PacketType,
    encode_connection_ids,
    parse_header,
)

# Length of the authentication tag that AEAD_AES_128_GCM appends (RFC 9001, section 5.3).
AEAD_TAG_BYTES = 16

# Offset of the header protection sample from the start of the packet number (RFC 9001, section 5.4.2).
SAMPLE_OFFSET = 4
SAMPLE_BYTES = 16

# The bits of the first octet of a long header that are protected (RFC 9001, section 5.4.1).
PROTECTED_BITS = 0x0F

# The bits of the first octet with the length of the packet number, minus one (RFC 9000, section 17.2).
PACKET_NUMBER_LENGTH_MASK = 0x03

# The length bits of a two-octet variable-length integer (RFC 9000, section 16).
_VARINT_2_BYTES = 0x4000

# Length of the packet number in packets that are built here.
_PACKET_NUMBER_BYTES = 1

# PADDING frames after the CONNECTION_CLOSE frame; more than header protection needs for its sample.
_REFUSAL_PADDING_BYTES = 16


def encrypt_initial(
    keys: InitialKeys, dcid: bytes, scid: bytes, frames: bytes, packet_number: int = 0
) -> bytes:
    """Return a protected Initial packet with an empty token (RFC 9000, section 17.2.2).

    dcid, scid: destination and source connection id. frames: at least three octets, which header protection
    needs for its sample. packet_number: below 256, because it is encoded in one octet.
    """
    length = _PACKET_NUMBER_BYTES + len(frames) + AEAD_TAG_BYTES
    token_length = 0
    header = (
        bytes([HEADER_FORM_BIT | FIXED_BIT])
        + VERSION_1.to_bytes(4)
        + encode_connection_ids(dcid, scid)
        + bytes([token_length])
        + (length | _VARINT_2_BYTES).to_bytes(2)
        + packet_number.to_bytes(_PACKET_NUMBER_BYTES)
    )
    ciphertext = AESGCM(keys.key).encrypt(keys.nonce(packet_number), frames, header)
    return _protect_header(keys, header, ciphertext) + ciphertext


def _protect_header(keys: InitialKeys, header: bytes, ciphertext: bytes) -> bytes:
    """Apply header protection to a header that ends with the packet number (RFC 9001, section 5.4.1)."""
    sample_start = SAMPLE_OFFSET - _PACKET_NUMBER_BYTES
    mask = keys.header_protection_mask(ciphertext[sample_start : sample_start + SAMPLE_BYTES])
    first_octet = header[0] ^ (mask[0] & PROTECTED_BITS)
    packet_number = header[-1] ^ mask[1]
    return bytes([first_octet]) + header[1:-1] + bytes([packet_number])


def decrypt_initial(keys: InitialKeys, datagram: bytes) -> bytes:
    """Return the frames of the Initial packet at the start of a datagram (RFC 9001, sections 5.3 and 5.4).

    Raises PacketError where it is not an Initial packet, or cannot be decrypted with these keys.
    """
    protected_part = _locate_protected_part(datagram)
    sample_start = protected_part.packet_number_offset + SAMPLE_OFFSET
    mask = keys.header_protection_mask(datagram[sample_start : sample_start + SAMPLE_BYTES])
    first_octet = datagram[0] ^ (mask[0] & PROTECTED_BITS)
    packet_number_length = (first_octet & PACKET_NUMBER_LENGTH_MASK) + 1
    payload_offset = protected_part.packet_number_offset + packet_number_length
    protected_packet_number = datagram[protected_part.packet_number_offset : payload_offset]
    packet_number = bytes(
        octet ^ bits for octet, bits in zip(protected_packet_number, mask[1:], strict=False)
    )
    header = bytes([first_octet]) + datagram[1 : protected_part.packet_number_offset] + packet_number
    nonce = keys.nonce(int.from_bytes(packet_number))
    try:
        return AESGCM(keys.key).decrypt(nonce, datagram[payload_offset : protected_part.end], header)
    except InvalidTag as error:
        raise PacketError("Initial packet cannot be decrypted with these keys") from error


@dataclass(frozen=True, slots=True)
class _ProtectedPart:
    """Location of an Initial packet's protected part in its datagram; offsets in octets."""

    packet_number_offset: int
    end: int


def _locate_protected_part(datagram: bytes) -> _ProtectedPart:
    """Return the offsets of the packet number and of the packet's end (RFC 9000, section 17.2.2).

    Raises PacketError where the datagram does not begin with a complete Initial packet.
    """
    # The connection id length for short headers does not matter: a short header is never an Initial packet.
    packet = parse_header(datagram, short_header_dcid_length=0)
    if packet.packet_type is not PacketType.INITIAL:
        raise PacketError("not an Initial packet")
    reader = DatagramReader(datagram, packet.payload_offset)
    token_length = reader.read_varint()
    reader.skip(token_length)
    length = reader.read_varint()
    end = reader.position + length
    if end > len(datagram) or length < SAMPLE_OFFSET + SAMPLE_BYTES:
        raise PacketError("Initial packet truncated")
    return _ProtectedPart(packet_number_offset=reader.position, end=end)


def build_refusal(client_dcid: bytes, client_scid: bytes, own_scid: bytes) -> bytes:
    """Return a server's Initial packet that closes with CONNECTION_REFUSED (RFC 9000, section 10.2.3).

    QUIC has no field for a retry-after time. client_dcid: as in `derive_initial_keys`. client_scid: the
    client's source connection id. own_scid: the source connection id of the packet.
    """
    keys = derive_initial_keys(client_dcid, Sender.SERVER)
    frames = build_connection_close(CONNECTION_REFUSED) + bytes(_REFUSAL_PADDING_BYTES)
    return encrypt_initial(keys, dcid=client_scid, scid=own_scid, frames=frames)
