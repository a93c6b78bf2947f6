"""The blackboard: tables, each with one owner that works through a queue of commands."""
