"""Tests of briartack; tables of cases are in `test-data`."""
