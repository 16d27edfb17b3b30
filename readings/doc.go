// Package readings keeps what is known of the load and the health of backend
// servers: their own reports, which all instances share, the requests that this
// instance has sent since, and the ends of attempts at all instances.
package readings
