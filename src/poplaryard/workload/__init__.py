"""Scheduling of jobs with several steps on groups of workers.

`partition` decides, `owner` carries the decisions out for one group of workers,
`acceptance` takes jobs from callers, and `node` ties them together in one process.
"""
