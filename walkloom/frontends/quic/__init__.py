"""The second frontend: places QUIC connections by connection id."""
