"""The path of a call: routing, attempts, retries, upstream admission."""
