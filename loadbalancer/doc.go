// Package loadbalancer defines how a request obtains the right to run on one
// backend server, and the policies that each instance applies alone.
//
// The policies [Random] and [BestOfTwo] choose from local knowledge and serve
// as baselines; package slot provides the policy that leases slots from a
// coordinator.
package loadbalancer
