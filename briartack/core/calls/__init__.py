"""How a call finds its upstream and what its caller is told."""
