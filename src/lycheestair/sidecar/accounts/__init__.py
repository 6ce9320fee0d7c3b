"""Client accounts: whose request it is, and whether its allowance covers it."""
