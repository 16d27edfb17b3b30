package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

func Example() {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	store := memory.New()
	journal := claim.New(claim.Options{
		Messenger: peertest.NewNetwork(0).Join("entry-1"),
		View:      &view{self: "entry-1", ids: []string{"entry-1"}},
		Tables:    store,
		Objects:   store,
		Current:   table.NewCurrent(),
	})
	stopped := make(chan error)
	go func() { stopped <- journal.Run(ctx) }()

	order := claim.Request{Service: "order", Key: "order-17", Attempt: "first"}
	decision, err := journal.Claim(ctx, order)
	for err != nil { // The journal is starting.
		time.Sleep(time.Millisecond)
		decision, err = journal.Claim(ctx, order)
	}
	fmt.Println("run:", decision.Verdict == claim.Run)
	journal.Finish(order, claim.EndFinished, &claim.Response{Status: 201, Body: []byte("rolls: 4")})

	// The caller did not receive the response and sends the order again.
	order.Attempt = "second"
	for decision.Verdict != claim.Replay {
		if decision, err = journal.Claim(ctx, order); err != nil {
			fmt.Println(err)
			break
		}
	}
	fmt.Printf("replay: %s\n", decision.Response.Body)
	stop()
	fmt.Println(<-stopped)
	// Output:
	// run: true
	// replay: rolls: 4
	// <nil>
}
