// Package slot leases the slots of backend servers to entry instances.
//
// For each service in each data centre one instance is the coordinator. It
// owns an epoch recorded in the table service and grants leases; the [Manager]
// of each entry instance keeps leases, runs requests on them and returns
// those that stay idle. The sum of leases never passes a server's slots.
package slot
