"""Network side of the proxy: feeds socket events to the decision module and performs its actions."""
