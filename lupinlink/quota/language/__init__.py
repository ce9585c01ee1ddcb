"""The policy language: its grammar (lark), the reader that reports findings, and the printer."""
