"""Long runs and measurements; none of them is part of the tests."""
