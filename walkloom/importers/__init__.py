"""Reads the server lists of other balancers, for a list in discovery's form."""
