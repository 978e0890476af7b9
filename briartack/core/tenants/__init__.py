"""Tenants: identification by API keys, and caps over all daemons."""
