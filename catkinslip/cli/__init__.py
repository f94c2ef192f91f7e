"""Command-line tool for operators: `catkinslip`."""
