"""Sums and an index that the decision module rests on. They decide nothing and know no event or action."""
