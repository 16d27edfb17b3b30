// Package quota caps the requests of workspaces over the whole fleet. It has no network: the
// caller carries its messages.
package quota
