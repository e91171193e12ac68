"""Billing ledger and bill delivery."""
