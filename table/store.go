package table

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

const (
	headKey       = "table/head"
	versionPrefix = "table/versions/"

	// maxRecentRefs is the number of earlier references in the head record.
	maxRecentRefs = 8
	// acceptAttempts is the maximum number of attempts per acceptance.
	acceptAttempts = 20
	// acceptRetryDelay is the delay between two attempts.
	acceptRetryDelay = 100 * time.Millisecond
)

// head is the record in the table service that refers to the latest accepted
// version. Its conditional write is the acceptance.
type head struct {
	Ref
	// Recent holds earlier references, newest first.
	Recent []Ref `json:"recent,omitempty"`
}

// lookup returns the reference of the acceptance with the given ID if it is the
// head or a recent one.
func (h head) lookup(id string) (Ref, bool) {
	for _, ref := range append([]Ref{h.Ref}, h.Recent...) {
		if ref.AcceptanceID == id {
			return ref, true
		}
	}
	return Ref{}, false
}

// Store stores the accepted versions in the platform's services.
//
// A document is first written to the object store under a unique name. The
// conditional write of the head record in the table service then accepts it. A
// crash between the two writes leaves an unreferenced object but loses no accepted
// version. Each document holds the checksum of the preceding version, so the
// history is a chain that starts at the head.
type Store struct {
	tables  storage.TableService
	objects storage.ObjectStore
}

// NewStore returns a store that uses the given platform services.
func NewStore(tables storage.TableService, objects storage.ObjectStore) *Store {
	return &Store{tables: tables, objects: objects}
}

// NewAcceptanceID returns a random ID for an acceptance.
func NewAcceptanceID() string { return rand.Text() }

// objectName returns the name of a version's object. It contains the checksum, so
// that a write can't change the content of an object to which a head refers.
func objectName(version uint64, sum string) string {
	return fmt.Sprintf("%s%020d/%s", versionPrefix, version, sum)
}

// readHead returns the head record and its record version. Before the first
// acceptance, the record version is [storage.Absent] and the table version 0.
func (s *Store) readHead(ctx context.Context) (head, storage.Version, error) {
	record, err := s.tables.Get(ctx, headKey)
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return head{}, storage.Absent, nil
	}
	if err != nil {
		return head{}, storage.Absent, fmt.Errorf("table: read head: %w", err)
	}
	var h head
	if err := json.Unmarshal(record.Value, &h); err != nil {
		return head{}, storage.Absent, &CorruptError{Reason: "head record: " + err.Error()}
	}
	return h, record.Version, nil
}

// Head returns the reference of the latest accepted version. The read may be
// stale. The version is 0 before the first acceptance.
func (s *Store) Head(ctx context.Context) (Ref, error) {
	h, _, err := s.readHead(ctx)
	return h.Ref, err
}

// Load returns the latest accepted document. The read may be stale. The version
// is 0 before the first acceptance.
func (s *Store) Load(ctx context.Context) (Document, error) {
	ref, err := s.Head(ctx)
	if err != nil || ref.Version == 0 {
		return Document{}, err
	}
	accepted, err := s.Read(ctx, ref)
	return accepted.Document, err
}

// Read returns the document to which ref refers.
func (s *Store) Read(ctx context.Context, ref Ref) (Accepted, error) {
	packed, err := s.objects.GetObject(ctx, objectName(ref.Version, ref.Sum))
	if err != nil {
		return Accepted{}, fmt.Errorf("table: read version %d: %w", ref.Version, err)
	}
	return unpack(ref, packed)
}

// Acceptance describes who accepts a table and on which version it is based.
type Acceptance struct {
	// ID identifies the acceptance. Repeating it with the same ID returns the
	// accepted document instead of a conflict.
	ID string
	// Base is the version that the operator edited; 0 for the first table.
	Base    uint64
	Author  string
	Message string
}

// Accept makes doc the next version if base is still the latest, with a new
// acceptance ID. See [Store.AcceptAs] for its errors.
func (s *Store) Accept(ctx context.Context, doc Document, base uint64, author, message string) (Document, error) {
	by := Acceptance{ID: NewAcceptanceID(), Base: base, Author: author, Message: message}
	accepted, err := s.AcceptAs(ctx, doc, by)
	return accepted.Document, err
}

// AcceptAs makes doc the next version if by.Base is still the latest. It fails
// with [InvalidError], [ConflictError], [StaleError] or [UnknownOutcomeError]; other
// errors mean that nothing was accepted.
func (s *Store) AcceptAs(ctx context.Context, doc Document, by Acceptance) (Accepted, error) {
	if err := Validate(doc); err != nil {
		return Accepted{}, err
	}
	doc.Version = by.Base + 1
	doc.AcceptanceID = by.ID
	doc.Author, doc.Message = by.Author, by.Message
	doc.AcceptedAt = time.Now().UTC().Round(time.Millisecond)
	a := &acceptance{store: s, doc: doc, base: by.Base}
	return a.run(ctx)
}

// acceptance is the state of one call of AcceptAs.
type acceptance struct {
	store *Store
	doc   Document
	base  uint64
	// written is the document in the object store; nil before its write.
	written *Accepted
	// unknownErr is the latest error after which the outcome is unknown: the head
	// may refer to this acceptance. It is nil if no such error occurred.
	unknownErr error
	// newestRecord is the highest record version reported by a write conflict. A
	// head with a lower version is stale.
	newestRecord storage.Version
}

func (a *acceptance) run(ctx context.Context) (Accepted, error) {
	var got uint64
	for range acceptAttempts {
		h, record, err := a.store.readHead(ctx)
		switch {
		case err != nil && a.unknownErr == nil:
			return Accepted{}, err
		case err != nil:
		default:
			accepted, done, err := a.step(ctx, h, record)
			if done {
				return accepted, err
			}
			got = h.Version
		}
		if err := sleep(ctx, acceptRetryDelay); err != nil {
			return Accepted{}, a.wrapUnknown(err)
		}
	}
	return Accepted{}, a.wrapUnknown(&StaleError{Got: got, Want: max(a.base, got+1)})
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wrapUnknown returns err, wrapped in an [UnknownOutcomeError] if the acceptance may
// have taken effect.
func (a *acceptance) wrapUnknown(err error) error {
	if a.unknownErr != nil {
		return &UnknownOutcomeError{AcceptanceID: a.doc.AcceptanceID, Err: err}
	}
	return err
}

// step makes one attempt with the head that was read. It returns false if another
// attempt is needed, since the head is stale or a read or write did not succeed.
func (a *acceptance) step(ctx context.Context, h head, record storage.Version) (Accepted, bool, error) {
	if ref, ok := h.lookup(a.doc.AcceptanceID); ok {
		return a.loadAccepted(ctx, ref)
	}
	if h.Version < a.base || record < a.newestRecord {
		return Accepted{}, false, nil
	}
	if h.Version > a.base {
		return Accepted{}, true, a.supersededError(ctx, h)
	}
	return a.write(ctx, h, record)
}

// loadAccepted returns the accepted document after the head was found to refer to
// this acceptance.
func (a *acceptance) loadAccepted(ctx context.Context, ref Ref) (Accepted, bool, error) {
	if a.written != nil && a.written.Ref == ref {
		return *a.written, true, nil
	}
	accepted, err := a.store.Read(ctx, ref)
	if err != nil {
		a.unknownErr = err
		return Accepted{}, false, nil
	}
	return accepted, true, nil
}

// supersededError returns the error for a head that is newer than the base. After
// a write with an unknown outcome, a conflict is certain only if the recent
// references reach back to the base.
func (a *acceptance) supersededError(ctx context.Context, h head) error {
	if a.unknownErr != nil && h.Version-a.base > uint64(len(h.Recent)+1) {
		return a.wrapUnknown(a.unknownErr)
	}
	return a.newConflictError(ctx, h)
}

func (a *acceptance) write(ctx context.Context, h head, record storage.Version) (Accepted, bool, error) {
	if err := a.writeObject(ctx, h); err != nil {
		if a.unknownErr != nil {
			return Accepted{}, false, nil
		}
		return Accepted{}, true, err
	}
	value, err := json.Marshal(h.next(a.written.Ref))
	if err != nil {
		return Accepted{}, true, fmt.Errorf("table: encode head: %w", err)
	}
	_, err = a.store.tables.Put(ctx, headKey, value, record)
	var conflict *storage.ConflictError
	var unknown *storage.UnknownOutcomeError
	switch {
	case err == nil:
		a.store.prune(ctx, a.doc.Version)
		return *a.written, true, nil
	case errors.As(err, &conflict):
		a.newestRecord = max(a.newestRecord, conflict.Present)
		return Accepted{}, false, nil
	case errors.As(err, &unknown):
		a.unknownErr = err
		return Accepted{}, false, nil
	case a.unknownErr != nil:
		return Accepted{}, false, nil
	}
	return Accepted{}, true, fmt.Errorf("table: accept: %w", err)
}

func (h head) next(ref Ref) head {
	if h.Version == 0 {
		return head{Ref: ref}
	}
	recent := append([]Ref{h.Ref}, h.Recent...)
	return head{Ref: ref, Recent: recent[:min(len(recent), maxRecentRefs)]}
}

// writeObject writes the document on the first attempt only. Its previous checksum
// is the same in every attempt, since each follows the same version.
func (a *acceptance) writeObject(ctx context.Context, h head) error {
	if a.written != nil {
		return nil
	}
	a.doc.PreviousSum = h.Sum
	packed, err := pack(a.doc)
	if err != nil {
		return err
	}
	name := objectName(packed.Ref.Version, packed.Ref.Sum)
	if err := a.store.objects.PutObject(ctx, name, packed.Packed); err != nil {
		return fmt.Errorf("table: write version %d: %w", a.doc.Version, err)
	}
	a.written = &packed
	return nil
}

func (a *acceptance) newConflictError(ctx context.Context, h head) error {
	present, err := a.store.Read(ctx, h.Ref)
	if err != nil {
		return fmt.Errorf("table: version %d was accepted after %d was edited: %w", h.Version, a.base, err)
	}
	conflict := &ConflictError{Base: a.base, Present: present.Document, Changes: Diff(present.Document, a.doc)}
	for _, ref := range h.Recent {
		if ref.Version != a.base {
			continue
		}
		if base, err := a.store.Read(ctx, ref); err == nil {
			conflict.Theirs = Diff(base.Document, present.Document)
		}
	}
	return conflict
}
