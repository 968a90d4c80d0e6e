"""Command line programs, one module per program."""
