"""Polls servers for their load when the policy asks for it."""
