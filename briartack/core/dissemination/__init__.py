"""Distribution of configuration and instance records to every daemon."""
