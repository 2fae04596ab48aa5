"""The exceptions of the QUIC frontend.

QuicFrontendError
├── ConnectionIdError
└── PacketError

A settings file that cannot be used raises `walkloom.config.ConfigError`, as all configuration does.
"""

from __future__ import annotations


class QuicFrontendError(Exception):
    """Base class of all errors that this package raises."""


class ConnectionIdError(QuicFrontendError, ValueError):
    """A connection id, or a format of connection ids, that the QUIC-LB draft does not allow.

    The text says what is allowed.
    """


class PacketError(QuicFrontendError, ValueError):
    """A datagram that is no QUIC packet, or an Initial packet that its keys do not open.

    The text says what is wrong with it.
    """
