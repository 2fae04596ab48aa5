"""Tests of the QUIC frontend."""
