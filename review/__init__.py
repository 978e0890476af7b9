"""Cases of the independent review: scripts that show broken rules."""
