package httpplatform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/storage/memory"
)

func newClient(t *testing.T, handler http.Handler) *httpplatform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newClientForURL(t, server.URL)
}

func newClientForURL(t *testing.T, base string) *httpplatform.Client {
	t.Helper()
	client, err := httpplatform.New(httpplatform.Options{BaseURL: base})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func wantErr[E error](t *testing.T, err error) {
	t.Helper()
	if _, ok := errors.AsType[E](err); !ok {
		t.Fatalf("got error %v (%T)", err, err)
	}
}

func TestTableServiceConditions(t *testing.T) {
	ctx := t.Context()
	client := newClient(t, platformd.NewHandler(memory.New()))
	const key = "a/b?&=é"
	_, err := client.Get(ctx, key)
	wantErr[*storage.NotFoundError](t, err)
	first, err := client.Put(ctx, key, []byte("one"), storage.Absent)
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Put(ctx, key, []byte("two"), storage.Absent)
	if conflict, ok := errors.AsType[*storage.ConflictError](err); !ok || conflict.Present != first || conflict.Key != key {
		t.Fatalf("got %v, want a conflict with version %d", err, first)
	}
	if _, err = client.Put(ctx, "a/c", nil, storage.Absent); err != nil {
		t.Fatal(err)
	}
	records, err := client.Scan(ctx, "a/", "", 1)
	if err != nil || len(records) != 1 || records[0].Key != key || string(records[0].Value) != "one" || records[0].Version != first {
		t.Fatalf("scan %+v, %v", records, err)
	}
	wantErr[*storage.ConflictError](t, client.Delete(ctx, key, first+100))
	if err := client.Delete(ctx, key, first); err != nil {
		t.Fatal(err)
	}
	records, err = client.Scan(ctx, "a/", key, 0)
	if err != nil || len(records) != 1 || records[0].Key != "a/c" {
		t.Fatalf("scan %+v, %v", records, err)
	}
}

func TestObjectsAndInstances(t *testing.T) {
	ctx := t.Context()
	client := newClient(t, platformd.NewHandler(memory.New()))
	if err := client.PutObject(ctx, "seg/1", []byte{0, 1, 255}); err != nil {
		t.Fatal(err)
	}
	data, err := client.GetObject(ctx, "seg/1")
	if err != nil || !slices.Equal(data, []byte{0, 1, 255}) {
		t.Fatalf("object %v, %v", data, err)
	}
	names, err := client.ListObjects(ctx, "seg/")
	if err != nil || !slices.Equal(names, []string{"seg/1"}) {
		t.Fatalf("names %v, %v", names, err)
	}
	if err := client.DeleteObject(ctx, "seg/1"); err != nil {
		t.Fatal(err)
	}
	_, err = client.GetObject(ctx, "seg/1")
	wantErr[*storage.NotFoundError](t, err)

	instance := storage.Instance{ID: "i1", Role: storage.RoleEntry, Address: "127.0.0.1:1", State: storage.StateLive}
	if err := client.SetInstance(ctx, instance); err != nil {
		t.Fatal(err)
	}
	rows, err := client.ListInstances(ctx)
	if err != nil || !reflect.DeepEqual(rows, []storage.Instance{instance}) {
		t.Fatalf("rows %v, %v", rows, err)
	}
	if err := client.RemoveInstance(ctx, "i1"); err != nil {
		t.Fatal(err)
	}
}

func TestLostResponses(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	client := newClient(t, platformd.NewHandler(store))
	version, err := client.Put(ctx, "k", []byte("0"), storage.Absent)
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memory.Faults{LoseAnswers: 1})
	_, err = client.Put(ctx, "k", []byte("1"), version)
	wantErr[*storage.UnknownOutcomeError](t, err)
	record, err := client.Get(ctx, "k")
	if err != nil || string(record.Value) != "1" {
		t.Fatalf("record %+v, %v", record, err)
	}
	store.SetFaults(memory.Faults{DropWrites: 1})
	wantErr[*storage.UnknownOutcomeError](t, client.Delete(ctx, "k", record.Version))
	if again, err := client.Get(ctx, "k"); err != nil || again.Version != record.Version {
		t.Fatalf("record %+v, %v", again, err)
	}
	if writes := store.Counts().Writes; writes != 3 {
		t.Fatalf("%d writes reached the store, want 3: a write was resent", writes)
	}
}

// closedPortURL has a port outside the range that is assigned to other processes,
// so connections to it are refused.
const closedPortURL = "http://127.0.0.1:1"

func TestRefusalsHaveNoEffect(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	client := newClient(t, platformd.NewHandler(store))
	store.SetFaults(memory.Faults{Down: true, ListDown: true})
	_, err := client.Put(ctx, "k", nil, storage.Absent)
	wantErr[*storage.UnavailableError](t, err)
	wantErr[*storage.UnavailableError](t, client.PutObject(ctx, "o", nil))
	wantErr[*storage.UnavailableError](t, client.RemoveInstance(ctx, "i"))
	_, err = newClientForURL(t, closedPortURL).Put(ctx, "k", nil, storage.Absent)
	wantErr[*storage.UnavailableError](t, err)
}

func TestUnprovenFailuresHaveUnknownOutcome(t *testing.T) {
	release := make(chan struct{})
	handlers := map[string]http.HandlerFunc{
		"500":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"plain 503":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"redirect":    func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) },
		"no version":  func(http.ResponseWriter, *http.Request) {},
		"cut":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no response": func(http.ResponseWriter, *http.Request) { <-release },
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("x"))
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			opts := httpplatform.Options{BaseURL: server.URL}
			if name == "no response" {
				opts.Timeout = 300 * time.Millisecond
			}
			client, err := httpplatform.New(opts)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if name == "no response" {
				defer close(release)
			}
			_, err = client.Put(t.Context(), "k", []byte("v"), storage.Absent)
			wantErr[*storage.UnknownOutcomeError](t, err)
			_, err = client.Get(t.Context(), "k")
			wantErr[*storage.UnavailableError](t, err)
		})
	}
}

func TestOptions(t *testing.T) {
	for _, base := range []string{"", "10.0.0.1:70", "ftp://h", "http://", "http://[::1"} {
		_, err := httpplatform.New(httpplatform.Options{BaseURL: base})
		wantErr[*httpplatform.OptionsError](t, err)
	}
}
