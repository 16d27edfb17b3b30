// Package loadbalancer defines the [Balancer] interface, which selects a backend
// server for a request and issues a permit to send the request there, and the
// policies that need no coordination between instances.
//
// The policies [Random] and [BestOfTwo] use only state of their own instance and
// serve as baselines; package slot provides the policy that leases slots from a
// coordinator.
package loadbalancer
