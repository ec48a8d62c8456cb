"""Models of the core protocols, checked exhaustively with the model checker minicheck."""
