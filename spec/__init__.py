"""Small specifications of the core protocols, checked exhaustively within bounds."""
