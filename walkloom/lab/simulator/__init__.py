"""A simulation of a fleet in virtual time."""
