"""Rates, concurrency, overload and retry budgets; library code without a network."""
