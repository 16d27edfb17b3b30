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

	// recentRefs is the number of references that the head record keeps.
	recentRefs = 8
	// settleTries bounds the rounds of one acceptance.
	settleTries = 20
	// settlePause is the pause between two rounds.
	settlePause = 100 * time.Millisecond
)

// head is the record whose conditional write is the acceptance.
type head struct {
	Ref
	// Recent holds earlier references, the latest first.
	Recent []Ref `json:"recent,omitempty"`
}

// contains reports whether the acceptance is the head or a recent one.
func (h head) contains(id string) (Ref, bool) {
	for _, ref := range append([]Ref{h.Ref}, h.Recent...) {
		if ref.AcceptanceID == id {
			return ref, true
		}
	}
	return Ref{}, false
}

// Store keeps the accepted versions in the platform's services.
//
// A document is written to the object store under a name of its own first; the
// conditional write of the head record in the table service then accepts it.
// A crash between the two leaves an object that no head refers to and loses
// nothing. Each document names the acceptance before it, so the history is the
// chain that starts at the head.
type Store struct {
	tables  storage.TableService
	objects storage.ObjectStore
}

// NewStore returns a store on the platform's services.
func NewStore(tables storage.TableService, objects storage.ObjectStore) *Store {
	return &Store{tables: tables, objects: objects}
}

// NewAcceptanceID returns a fresh ID that names one acceptance.
func NewAcceptanceID() string { return rand.Text() }

// objectName is unique for the content, so that no write replaces an object
// that a head refers to.
func objectName(version uint64, sum string) string {
	return fmt.Sprintf("%s%020d/%s", versionPrefix, version, sum)
}

// readHead returns the head record. The record version is [storage.Absent] and
// the table version 0 before the first acceptance.
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

// Head returns the reference of the latest accepted version that the store
// answers with, which may be stale. Its version is 0 before the first.
func (s *Store) Head(ctx context.Context) (Ref, error) {
	h, _, err := s.readHead(ctx)
	return h.Ref, err
}

// Load returns the latest accepted document that the store answers with. The
// version is 0 before the first acceptance.
func (s *Store) Load(ctx context.Context) (Document, error) {
	ref, err := s.Head(ctx)
	if err != nil || ref.Version == 0 {
		return Document{}, err
	}
	accepted, err := s.Read(ctx, ref)
	return accepted.Document, err
}

// Read returns the document that ref names.
func (s *Store) Read(ctx context.Context, ref Ref) (Accepted, error) {
	packed, err := s.objects.GetObject(ctx, objectName(ref.Version, ref.Sum))
	if err != nil {
		return Accepted{}, fmt.Errorf("table: read version %d: %w", ref.Version, err)
	}
	return unpack(ref, packed)
}

// Acceptance describes who accepts a table and what it was edited from.
type Acceptance struct {
	// ID names the acceptance. Accepting again under the same ID returns the
	// accepted document instead of a conflict.
	ID string
	// Base is the version that the operator edited; 0 for the first table.
	Base    uint64
	Author  string
	Message string
}

// Accept makes doc the next version if base is still the latest, under a fresh
// acceptance ID. See [Store.AcceptAs] for its errors.
func (s *Store) Accept(ctx context.Context, doc Document, base uint64, author, message string) (Document, error) {
	by := Acceptance{ID: NewAcceptanceID(), Base: base, Author: author, Message: message}
	accepted, err := s.AcceptAs(ctx, doc, by)
	return accepted.Document, err
}

// AcceptAs makes doc the next version if by.Base is still the latest. It fails
// with [InvalidError], [ConflictError], [StaleError] or [UnsettledError]; other
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

// acceptance is the state of one Accept.
type acceptance struct {
	store *Store
	doc   Document
	base  uint64
	// written is what the object store holds; nil before the write.
	written *Accepted
	// unknown is set while a write of the head may have taken effect.
	unknown error
	// newest is the highest record version that the table service told of.
	newest storage.Version
}

func (a *acceptance) run(ctx context.Context) (Accepted, error) {
	var got uint64
	for range settleTries {
		h, record, err := a.store.readHead(ctx)
		switch {
		case err != nil && a.unknown == nil:
			return Accepted{}, err
		case err != nil:
		default:
			accepted, done, err := a.step(ctx, h, record)
			if done {
				return accepted, err
			}
			got = h.Version
		}
		if err := pause(ctx, settlePause); err != nil {
			return Accepted{}, a.unsettled(err)
		}
	}
	return Accepted{}, a.unsettled(&StaleError{Got: got, Want: max(a.base, got+1)})
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unsettled returns err, as an unknown outcome if a write may have taken effect.
func (a *acceptance) unsettled(err error) error {
	if a.unknown != nil {
		return &UnsettledError{AcceptanceID: a.doc.AcceptanceID, Err: err}
	}
	return err
}

// step decides by one answer of the store. It is not done if the answer is
// stale or the outcome of the write is unknown.
func (a *acceptance) step(ctx context.Context, h head, record storage.Version) (Accepted, bool, error) {
	if ref, ok := h.contains(a.doc.AcceptanceID); ok {
		return a.found(ctx, ref)
	}
	if h.Version < a.base || record < a.newest {
		return Accepted{}, false, nil
	}
	if h.Version > a.base {
		return Accepted{}, true, a.lost(ctx, h)
	}
	return a.write(ctx, h, record)
}

// found returns the acceptance that took effect.
func (a *acceptance) found(ctx context.Context, ref Ref) (Accepted, bool, error) {
	if a.written != nil && a.written.Ref == ref {
		return *a.written, true, nil
	}
	accepted, err := a.store.Read(ctx, ref)
	if err != nil {
		a.unknown = err
		return Accepted{}, false, nil
	}
	return accepted, true, nil
}

// lost tells that another acceptance took the place of this one. The head must
// reach back to the base to prove it.
func (a *acceptance) lost(ctx context.Context, h head) error {
	if a.unknown != nil && h.Version-a.base > uint64(len(h.Recent)+1) {
		return a.unsettled(a.unknown)
	}
	return a.conflict(ctx, h)
}

func (a *acceptance) write(ctx context.Context, h head, record storage.Version) (Accepted, bool, error) {
	if err := a.writeObject(ctx, h); err != nil {
		if a.unknown != nil {
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
		a.newest = max(a.newest, conflict.Present)
		return Accepted{}, false, nil
	case errors.As(err, &unknown):
		a.unknown = err
		return Accepted{}, false, nil
	case a.unknown != nil:
		return Accepted{}, false, nil
	}
	return Accepted{}, true, fmt.Errorf("table: accept: %w", err)
}

func (h head) next(ref Ref) head {
	if h.Version == 0 {
		return head{Ref: ref}
	}
	recent := append([]Ref{h.Ref}, h.Recent...)
	return head{Ref: ref, Recent: recent[:min(len(recent), recentRefs)]}
}

// writeObject stores the document once; the head it follows is the same in
// every round, since its version is.
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

func (a *acceptance) conflict(ctx context.Context, h head) error {
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
