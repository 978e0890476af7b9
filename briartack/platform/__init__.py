"""How the users' platform speaks: names, formats and calls.

Nothing here decides anything or keeps anything between two calls. The names
of the platform occur nowhere else; the types of the product say what they
hold.
"""
