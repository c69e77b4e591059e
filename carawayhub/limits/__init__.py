"""Rate and concurrency limits, overload control and retry budgets, without network access."""
