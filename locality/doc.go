// Package locality decides how much of a service's work an instance sends to other data
// centres, and by which factor the cost of the servers there is raised so that
// [placement.Choose] sends that much. It uses no network.
//
// Each instance decides alone, from what it knows of all servers, which is up to a second
// old. docs/design/locality.md has the reasons.
package locality
