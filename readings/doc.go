// Package readings tracks the load and health of backend servers. It combines the
// load reports that servers attach to their responses, which all instances share,
// the requests that this instance has sent since the last report, and the results
// of attempts at all instances.
package readings
