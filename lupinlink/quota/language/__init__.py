"""The language of quotas: its grammar (lark), from text to a policy with findings, and back to text."""
