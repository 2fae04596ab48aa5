"""The laboratory: see docs/lab.md."""
