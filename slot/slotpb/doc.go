// Package slotpb holds the generated messages of slot leases.
package slotpb
