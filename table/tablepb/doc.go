// Package tablepb holds the messages by which instances exchange tables.
package tablepb
