// Package gossip exchanges datagrams among the entry instances.
//
// Each instance sends all others, several times a second, what it has learned
// since: readings of backend servers, results of attempts, and how fresh its view
// of the store is. What is longer than a datagram is compressed and sent in
// chunks. A lost datagram is made up for by the next one or by asking again. An
// instance that is silent is one whose figures are unknown.
package gossip
