// Package prove runs the tests that verify pomelolock's guarantees under failure.
// By mutation testing it also verifies that each test fails when the mechanism
// that it covers is disabled.
//
// The committed file rows.json holds one row for each test: the guarantee
// (promise), the test and its switch-offs. A switch-off is a set of source edits
// that disables one mechanism. The go tool's -overlay flag applies it, so that
// the working tree stays unchanged. The flag is passed in GOFLAGS and so reaches
// programs that a test builds, too.
package prove
