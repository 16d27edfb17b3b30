// Package slotpb has the generated protobuf messages of package slot.
package slotpb
