"""How configuration and the list of instances reach every daemon."""
