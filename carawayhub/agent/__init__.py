"""The agent process beside an endpoint: gate, ledger, reports and orders."""
