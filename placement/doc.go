// Package placement selects the backend server for a request, or reports that
// none qualifies. It works on a snapshot of the known state; it uses neither the
// network nor a clock.
//
// It is designed for servers on shared machines. Interference from other
// workloads makes the same work take several times longer for some hundred
// milliseconds, without warning and on changing machines. Servers also slow down
// when nearly full, and requests beyond their slots queue. The selection
// therefore minimises the expected time of the request, prefers servers in the
// same data centre and avoids servers whose recent attempts failed.
package placement
