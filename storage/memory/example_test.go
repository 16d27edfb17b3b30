package memory_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// The outcome of a write whose response was lost is determined by reading back.
func Example() {
	ctx := context.Background()
	store := memory.New()
	store.SetFaults(memory.Faults{LoseAnswers: 1})
	_, err := store.Put(ctx, "key", []byte("batch-1"), storage.Absent)
	var unknown *storage.UnknownOutcomeError
	if errors.As(err, &unknown) {
		record, readErr := store.Get(ctx, "key")
		fmt.Println(string(record.Value), record.Version, readErr)
	}
	// Output: batch-1 1 <nil>
}
