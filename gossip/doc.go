// Package gossip exchanges UDP datagrams among the entry instances.
//
// Several times a second, each instance sends all others its updates: load reports
// of backend servers, results of attempts, and the freshness of its view of the
// store. State too long for one datagram is compressed and sent in chunks. Lost
// datagrams are not retransmitted: a later datagram or a repeated request for state
// makes up for them. An instance that sends nothing soon counts as not alive, and its
// backlogs as unknown.
//
// In a data centre of more than 20 instances, the three with the greatest capacity act as
// relays. The others send to one relay, in turn; relays merge what arrives and send it to
// all instances of the data centre and to the relays of the others. An instance then knows
// those of its data centre, from the rosters of a relay, and the relays of the others. What
// an instance receives thus grows with the number of servers, not with that of instances.
//
// New processes learn of the others from seeds, to which they send a hello.
package gossip
