// Package tablepb holds the protocol messages with which instances exchange tables.
package tablepb
