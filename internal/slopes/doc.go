// Package slopes measures how the cost of each part grows with its size, for
// docs/CAPACITY.md.
//
// Costs of one package come from its benchmarks, which [RunBenchmarks] runs
// with the go tool in the present directory. Costs of an instance come from
// daemons that [Daemons] starts on loopback through package fleet. Each
// [Series] holds the medians of its rounds at three or more sizes and a line
// through them. [Extrapolate] works out the figures at a given size.
package slopes
