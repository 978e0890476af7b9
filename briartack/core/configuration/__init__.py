"""Which versions of the settings are accepted and in force."""
