// Package lint checks tables before they are sent: it lists errors with what to write
// instead, entries that have no effect or contradict each other, and the effects of a new
// table on requests.
//
// Errors are those of the functions that the product itself calls when it gets a table; see
// [Errors]. Warnings never make the product reject a table. Nothing that the package returns
// holds a key or the hash of a key.
package lint
