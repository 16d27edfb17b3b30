package table

import "context"

// Prune deletes old versions as the acceptance of latest would.
func (s *Store) Prune(ctx context.Context, latest uint64) { s.prune(ctx, latest) }
