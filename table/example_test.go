package table_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

func ExampleStore() {
	services := memory.New()
	store := table.NewStore(services, services)
	first, err := table.Parse([]byte(`{"services": [{"name": "orders", "mode": "cost"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	accepted, err := store.Accept(context.Background(), first, 0, "alena", "first table")
	fmt.Println(accepted.Version, err)

	edited, _ := table.Parse([]byte(`{"services": [{"name": "orders", "mode": "tail"}]}`))
	_, err = store.Accept(context.Background(), edited, 0, "bo", "edited before alena accepted")
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("conflict with version", conflict.Present.Version)
		fmt.Println(conflict.Changes[0])
	}
	// Output:
	// 1 <nil>
	// conflict with version 1
	// ~ services orders mode: cost -> tail
}
