// Package gossip exchanges UDP datagrams among the entry instances.
//
// Several times a second, each instance sends all others its updates: load reports
// of backend servers, results of attempts, and the freshness of its view of the
// store. State too long for one datagram is compressed and sent in chunks. Lost
// datagrams are not retransmitted: a later datagram or a repeated request for state
// makes up for them. An instance that sends nothing soon counts as not alive, and its
// backlogs as unknown.
//
// In a data centre of more than 20 instances, up to three instances with fast links act
// as relays. The others send each datagram to one relay, chosen round robin, which
// collects datagrams for a short time and sends them to all instances as one bundle.
// Every instance relays each datagram that requests it, so the instances need not agree
// on the relays.
package gossip
