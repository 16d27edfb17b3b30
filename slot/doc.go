// Package slot leases the slots of backend servers to entry instances. A group
// is the servers of one service in one data centre. One instance coordinates
// it under an epoch recorded in the table service and grants leases to its
// holders, the instances that request them with Ask messages. The [Manager] of
// each instance keeps leases, runs requests on them and returns those that stay
// idle. The leases of a server never exceed its slots.
package slot
