// Package fleet runs the processes of a whole fleet on loopback for tests, the
// demo and the bench: the platform stand-in, backend stand-ins and daemons.
//
// Processes get free ports of 127.0.0.1 and a directory of their own for
// settings and logs. They can be stopped, killed, frozen and woken one by one;
// [Fleet.Stop] ends all of them, the daemons first and gracefully.
package fleet
