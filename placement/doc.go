// Package placement decides which backend server gets a request, or that none
// does. Its decisions are functions of what is known at that moment; they use no
// network and no clock of their own.
//
// The load that it answers: servers share their machines with others, so that
// the same work takes several times longer there for some hundred milliseconds,
// in turns and without warning. Servers slow down further when nearly full, and
// requests beyond their slots wait. The choice therefore minimises the expected
// time of the request, with a preference for servers of the same data centre and
// against servers whose attempts failed of late.
package placement
