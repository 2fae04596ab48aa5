"""The exceptions of the QUIC frontend.

QuicFrontendError
├── ConnectionIdError
└── PacketError

An invalid settings file raises `walkloom.config.ConfigError`, like all configuration.
"""

from __future__ import annotations


class QuicFrontendError(Exception):
    """Base class of all errors that this package raises."""


class ConnectionIdError(QuicFrontendError, ValueError):
    """A connection id or connection id format that the QUIC-LB draft does not allow.

    The message states what is allowed.
    """


class PacketError(QuicFrontendError, ValueError):
    """A datagram that is not a QUIC packet, or an Initial packet that cannot be decrypted.

    The message states what is wrong with it.
    """
