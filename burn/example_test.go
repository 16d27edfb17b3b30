package burn_test

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/storage/memory"
)

func Example() {
	objects := memory.New()
	objectives := []burn.Objective{{Service: "orders", Percent: 99.9, Latency: 250 * time.Millisecond}}
	recorder := burn.NewRecorder()
	recorder.SetObjectives(objectives)
	keeper := burn.NewKeeper(burn.Options{Recorder: recorder, Objects: objects, View: view{self: "entry-1"}})

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { keeper.Run(ctx); close(done) }()
	recorder.Record("orders", true, 20*time.Millisecond)
	recorder.Record("orders", false, 20*time.Millisecond)
	stop()
	<-done // the last counts are written now

	report, err := burn.BuildReport(context.Background(), objects, objectives, time.Now().Add(4*time.Minute))
	if err != nil {
		fmt.Println(err)
		return
	}
	hour := report.Services[0].Windows[1]
	fmt.Println(hour.Name(), hour.Total, hour.RateText())
	// Output: 1h 2 500.00
}
