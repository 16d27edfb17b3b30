// Package slopes measures how resource costs scale with size and extrapolates
// them to large fleets, for docs/CAPACITY.md.
//
// The cost of a single package comes from its Go benchmarks, which
// [RunBenchmarks] runs in the current directory. The cost of an instance comes
// from daemons that [MeasureDaemons] starts on loopback through package fleet. Each
// [Series] holds the median at each measured size, usually of three or more
// sizes, and a least-squares line through the medians. [Extrapolate] computes
// the figures for a given [Size].
package slopes
