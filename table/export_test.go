package table

import "context"

// Prune runs the deletion of old versions as after the acceptance of latest.
func (s *Store) Prune(ctx context.Context, latest uint64) { s.prune(ctx, latest) }
