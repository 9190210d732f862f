"""Scheduling of jobs with several steps on groups of workers.

`partition` makes the scheduling decisions for one group of workers, `owner` carries
them out, `acceptance` stores the jobs that callers submit, and `node` runs all of them
in one process.
"""
