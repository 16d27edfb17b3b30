package slopes

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// benchmark selects benchmarks of one package and says how to run them.
type benchmark struct {
	pkg, pattern, time string
	// count is the number of rounds, the -count flag of go test.
	count int
	// per is the unit of the sizes in the names of the sub-benchmarks.
	per string
}

var benchmarks = []benchmark{
	{pkg: "peer", pattern: "^BenchmarkIdle$", time: "1x", count: 1, per: "instances"},
	{pkg: "slot", pattern: "^BenchmarkCoordinatorAsk$", time: "2000x", count: 3, per: "holders"},
	{pkg: "slot", pattern: "^BenchmarkCoordinatorMemory$", time: "1x", count: 3, per: "leases"},
	{pkg: "claim", pattern: "^BenchmarkClaimRate$/callers=(10|30)$", time: "1500x", count: 1, per: "callers"},
	{pkg: "claim", pattern: "^BenchmarkClaimRate$/callers=(100|300)$", time: "6000x", count: 1, per: "callers"},
	{pkg: "claim", pattern: "^BenchmarkIndexMemory$", time: "1x", count: 1, per: "keys"},
	{pkg: "claim", pattern: "^BenchmarkTakeover$", time: "3x", count: 1, per: "keys"},
	{pkg: "table", pattern: "^Benchmark(Accepted|PutInForce)$", time: "20x", count: 3, per: "servers"},
	{pkg: "burn", pattern: "^BenchmarkHourObject$", time: "3x", count: 1, per: "services"},
	{pkg: "proxy", pattern: "^Benchmark(Lookup|Direct)$", time: "2000x", count: 3, per: ""},
}

// BenchmarkError reports a package whose benchmarks failed or could not be run.
type BenchmarkError struct {
	Package string
	Output  string
	Err     error
}

func (e *BenchmarkError) Error() string {
	return fmt.Sprintf("slopes: benchmarks of %s: %v\n%s", e.Package, e.Err, e.Output)
}

// Unwrap returns the error of the go command.
func (e *BenchmarkError) Unwrap() error { return e.Err }

// RunBenchmarks runs the benchmarks of each package in turn and adds their
// results to samples. The current directory must be the root of the module.
func RunBenchmarks(ctx context.Context, samples *Samples) error {
	for _, b := range benchmarks {
		output, err := exec.CommandContext(ctx, "go", "test", "./"+b.pkg, "-run", "^$", "-bench", b.pattern,
			"-benchtime", b.time, "-count", strconv.Itoa(b.count)).CombinedOutput()
		if err != nil {
			return &BenchmarkError{Package: b.pkg, Output: string(output), Err: err}
		}
		b.parse(output, samples)
	}
	return nil
}

// benchmarkName captures the benchmark's name, the size in the name of the
// sub-benchmark and any deeper levels after it.
var benchmarkName = regexp.MustCompile(`^Benchmark([A-Za-z]+)(?:/(?:[a-z]+=)?(\d+)(\S*?))?(?:-\d+)?$`)

// parse adds every metric in the output of go test -bench to samples. Zero ns/op
// values are skipped.
func (b *benchmark) parse(output []byte, samples *Samples) {
	scanner := bufio.NewScanner(bytes.NewReader(output))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		name := benchmarkName.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		size, _ := strconv.ParseFloat(name[2], 64)
		label := b.pkg + "." + name[1]
		if _, state, found := strings.Cut(name[3], "/"); found {
			label += "." + state
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err == nil && (value != 0 || fields[i+1] != "ns/op") {
				samples.add(label+" "+fields[i+1], fields[i+1], b.per, size, value)
			}
		}
	}
}
