"""The agent beside an endpoint: request gate, key ledger, reports and orders to ranks."""
