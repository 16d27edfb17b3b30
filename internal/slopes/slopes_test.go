package slopes

import (
	"math"
	"testing"
)

func TestLineThroughMedians(t *testing.T) {
	var samples Samples
	for _, size := range []float64{30, 10, 20} {
		for _, noise := range []float64{0, 1000, -1000} {
			samples.add("a", "B", "instances", size, 7+3*size+noise)
		}
	}
	line := samples.Series()[0]
	if math.Abs(line.Slope-3) > 1e-9 || math.Abs(line.Base-7) > 1e-9 || math.Abs(line.At(1300)-3907) > 1e-6 {
		t.Errorf("line %+v", line)
	}
	if line.Points[0] != (Point{Size: 10, Value: 37, Rounds: 3}) {
		t.Errorf("first point %+v", line.Points[0])
	}
}

func TestParseBenchmarkOutput(t *testing.T) {
	const output = `goos: linux
BenchmarkIdle/instances=18-10   	       1	         0 ns/op	      1077 sent-B/s
BenchmarkIndexMemory/keys=1000/STATE_TAKEN-10 	 5	 12 ns/op	 73.5 B/key
BenchmarkLookup-10  2000  85204 ns/op
PASS
`
	b := benchmark{pkg: "x", per: "n"}
	var samples Samples
	b.parse([]byte(output), &samples)
	want := Samples{
		{"x.Idle sent-B/s", "sent-B/s", "n", 18, 1077},
		{"x.IndexMemory.STATE_TAKEN ns/op", "ns/op", "n", 1000, 12},
		{"x.IndexMemory.STATE_TAKEN B/key", "B/key", "n", 1000, 73.5},
		{"x.Lookup ns/op", "ns/op", "n", 0, 85204},
	}
	if len(samples) != len(want) {
		t.Fatalf("parsed %+v", samples)
	}
	for i := range want {
		if samples[i] != want[i] {
			t.Errorf("parsed %+v, want %+v", samples[i], want[i])
		}
	}
}

func TestExtrapolation(t *testing.T) {
	var series []Series
	for _, n := range []string{"daemons=4.cpu", "daemons=9.cpu", "daemons=18.cpu"} {
		series = append(series, Series{Name: n, Slope: 0.03, Base: 4})
	}
	series = append(series, Series{Name: "table.Accepted packed-B", Slope: 10, Base: 1000})
	figures := make(map[string]float64)
	for _, f := range Extrapolate(series, Target) {
		figures[f.Name] = f.Value
	}
	want := map[string]float64{
		"cpu a call": 300, "cores for all calls": 150, "entry instances": 300, "sessions, full mesh": 299,
		"table": 14, "burn traffic a daemon": -1,
	}
	for name, value := range want {
		if math.Abs(figures[name]-value) > 1e-6 {
			t.Errorf("%s: %g, want %g", name, figures[name], value)
		}
	}
}
