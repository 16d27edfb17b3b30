// Package prove runs the tests that show the promises of pomelolock under
// failure, and shows that each test fails without its mechanism.
//
// The committed file rows.json holds one row for each test: the promise, the
// test and the switch-offs. A switch-off is an edit of one source file that
// takes the mechanism away. It is applied by the go tool's -overlay flag, so
// that no file of the working tree changes; programs that a test builds get it
// through GOFLAGS.
package prove
