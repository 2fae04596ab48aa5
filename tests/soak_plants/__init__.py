"""Checks the soak test itself: each fault is planted in its own copy of the program and must be found."""
