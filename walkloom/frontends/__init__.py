"""Frontends: each speaks one protocol with clients and servers; all use the same engine and policy."""
