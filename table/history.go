package table

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

// MaxHistoryVersions is the number of accepted versions that the store retains.
const MaxHistoryVersions = 1000

// Entry describes one accepted version.
type Entry struct {
	Version    uint64    `json:"version"`
	AcceptedAt time.Time `json:"accepted_at"`
	Author     string    `json:"author"`
	Message    string    `json:"message"`
	// Changes lists the differences to the preceding version; nil if that
	// version is no longer stored.
	Changes []Change `json:"changes"`
}

// History returns up to limit accepted versions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	doc, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for doc.Version > 0 && len(entries) < limit {
		entry := Entry{Version: doc.Version, AcceptedAt: doc.AcceptedAt, Author: doc.Author, Message: doc.Message}
		previous, found, err := s.previous(ctx, doc)
		if err != nil {
			return nil, err
		}
		if found {
			entry.Changes = Diff(previous, doc)
		}
		entries = append(entries, entry)
		doc = previous
	}
	return entries, nil
}

// Version returns the accepted document of the given version. It fails with
// [storage.NotFoundError] if the version is not stored.
func (s *Store) Version(ctx context.Context, version uint64) (Document, error) {
	doc, err := s.Load(ctx)
	if err != nil {
		return Document{}, err
	}
	found := doc.Version > 0
	for found && doc.Version > version {
		if doc, found, err = s.previous(ctx, doc); err != nil {
			return Document{}, err
		}
	}
	if !found || doc.Version != version {
		return Document{}, fmt.Errorf("table: %w", &storage.NotFoundError{Key: fmt.Sprintf("version %d", version)})
	}
	return doc, nil
}

// previous returns the version that precedes doc, and false if it is not stored.
func (s *Store) previous(ctx context.Context, doc Document) (Document, bool, error) {
	if doc.Version <= 1 {
		return Document{}, false, nil
	}
	packed, err := s.objects.GetObject(ctx, objectName(doc.Version-1, doc.PreviousSum))
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return Document{}, false, nil
	}
	if err != nil {
		return Document{}, false, fmt.Errorf("table: read version %d: %w", doc.Version-1, err)
	}
	previous, err := unpack(Ref{Version: doc.Version - 1, Sum: doc.PreviousSum}, packed)
	return previous.Document, err == nil, err
}

// prune deletes versions older than the latest MaxHistoryVersions. Errors are
// ignored, since the next acceptance prunes again.
func (s *Store) prune(ctx context.Context, latest uint64) {
	if latest <= MaxHistoryVersions {
		return
	}
	end := objectName(latest-MaxHistoryVersions, "")
	names, err := s.objects.ListObjects(ctx, versionPrefix)
	if err != nil {
		return
	}
	for _, name := range names {
		if name < end {
			_ = s.objects.DeleteObject(ctx, name)
		}
	}
}
