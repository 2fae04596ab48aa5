"""The same decisions on the simulator's wire: a codec for its records and a host for its instances."""
