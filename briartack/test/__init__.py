"""Tests of briartack; the tables of test cases are in `test-data`."""
