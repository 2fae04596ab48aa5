"""Checks the soak itself: faults are planted in a copy of the program, one each, and have to be found."""
