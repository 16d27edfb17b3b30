// Package settings reads the static settings of one instance: who it is, where
// it listens, and how it reaches the platform. What governs requests is in the
// table instead, see package table.
//
// The settings are one file of JSON with comments and trailing commas. [Load]
// checks the file as a whole and reports every fault at once with its file,
// line and field. Omitted fields have the defaults of [Default]; the page
// docs/SETTINGS.md lists all of them.
package settings
