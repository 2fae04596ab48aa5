"""Endpoint discovery: keeps the list of servers and their addresses up to date."""
