"""Models and loader of the settings files."""
