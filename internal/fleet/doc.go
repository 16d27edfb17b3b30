// Package fleet runs a complete fleet of processes on loopback for tests, the demo
// and the benchmark: the platform stand-in, backend stand-ins and daemons.
//
// Each process listens on free ports of 127.0.0.1; settings and logs go into the
// directory of the [Spec]. Processes can be stopped, killed, suspended and resumed
// one by one. [Fleet.Stop] ends all of them, the daemons first and gracefully.
package fleet
