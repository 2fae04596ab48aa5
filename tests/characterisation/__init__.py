"""Characterisation tests: digests of seeded runs that every change must keep."""
