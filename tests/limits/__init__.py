"""Tests of rate limits and retry budgets."""
