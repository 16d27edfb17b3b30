// Package scenario tests fleets of real processes under load and faults.
//
// Scenarios are testscript scripts in testdata. They add these commands to the
// standard ones:
//
//	fleet [entries=3] [lag=300ms] [seed=1]
//		starts a small fleet with the services of [fleet.Vltava], accepts its
//		table and waits until every daemon is ready
//	load [rate=200] [for=3s] [orders=40] [resend=20] [retries=0] [seed=1] [balancer=0s]
//		starts load in the background; orders is the percentage of orders,
//		and resend the percentage of these that are sent a second time, to
//		another daemon; requests go only to daemons that report ready, where a
//		change of readiness takes effect after the delay given as balancer;
//		with balancer=none they go to all daemons
//	after TIME
//		waits until TIME has passed since the load was started
//	entry start | stop NAME... | stopped NAME... | kill NAME... | freeze NAME... | wake NAME...
//		stopped waits until the daemon has ended and requires exit code 0
//	backend faults NAME JSON | kill NAME | restart NAME
//	platform faults JSON
//	poison TIMES
//		sends a request that crashes backend servers TIMES times, to the daemons
//		in turn; the figures are then the codes of the responses and
//		servers_lost
//	judge
//		waits until the load has ended and judges its report against the
//		backend servers' logs and counts
//	check FIGURE OP NUMBER
//		fails unless the comparison holds; OP is ==, !=, <, <=, > or >=
//
// Figures are the verdicts of package loadgen, such as whole, cut and unknown,
// the codes of pomelolock's own responses, and sent, retried, executions,
// repeated_keys, ran_but_told_not_run, whole_but_not_run, over_limit and
// refused_draining.
package scenario
