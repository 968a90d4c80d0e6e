"""Rate limits and retry budgets enforced over the whole fleet."""
