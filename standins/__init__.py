"""Provide development stand-ins for the platform, unused by the product."""
