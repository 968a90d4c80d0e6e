"""The checks, a module each; importing a module registers its check.

An operator's own check is a module that uses `registry.register` and is
imported before the checks run.
"""
