// Package admission decides which of the queued requests of a service are sent
// now, which keep waiting and which are refused.
//
// It is designed for overload that lasts seconds or minutes, with more requests
// than the servers of a service can run at full speed. A request sent to a full
// server slows down those running there and can't be recalled, so requests are
// queued at the instances, where the order can still change: first those that can
// still meet their target, among them by priority and then by the earliest
// target. With workspaces, capacity is divided among them by their weights before
// targets count (Fair). Requests that can't be served by their deadline are refused
// at once.
//
// All instances see the same spare capacity. Each uses a part of it in proportion
// to its part of all queued requests, so that together they don't exceed it.
//
// The decisions depend only on the known state and use no network.
package admission
