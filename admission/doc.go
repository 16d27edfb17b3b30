// Package admission decides which of the waiting requests of a service are sent
// now, which wait and which are refused.
//
// The load that it answers: more requests than the servers of a service can run
// at full speed, for some seconds or minutes. A request that is sent to a full
// server slows down those that run there and can't be recalled, so requests wait
// at the instances instead, where the order can still change: those first that
// can still be answered within their target, among them the more urgent, then
// those whose time ends first. Requests that can't be served within their time are
// refused at once.
//
// All instances see the same free room. Each takes a part of it in proportion to
// its part of all waiting requests, so that together they don't take more than
// there is.
//
// The decisions are functions of what is known at that moment and use no network.
package admission
