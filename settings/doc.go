// Package settings reads the static settings of one instance: its identity, its
// listeners, its limits and its connection to the platform. The rules for routing
// requests are in the table, see package table.
//
// The settings are one JSON file, in which comments and trailing commas are
// allowed. [Load] validates the complete file and reports all faults at once,
// each with file, line and field. Omitted fields have the values of [Default].
// The page docs/SETTINGS.md documents all fields.
package settings
