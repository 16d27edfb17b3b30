// Package scenario runs scripted scenarios against fleets of real processes.
//
// Scenarios are testscript files in testdata. Besides testscript's own commands
// they have:
//
//	fleet [entries=3] [lag=300ms] [seed=1]
//		starts a small fleet with Vltava's services, accepts its table and
//		waits until every daemon is ready
//	load [rate=200] [for=3s] [orders=40] [resend=20] [retries=0] [seed=1] [balancer=0s]
//		starts load in the background; orders and resend are percentages;
//		calls go only to daemons that report ready, balancer later than
//		they do, or with balancer=none to all
//	after TIME
//		waits until that time of the load
//	entry start | stop NAME... | stopped NAME... | kill NAME... | freeze NAME... | wake NAME...
//		stopped waits for exit code 0
//	backend faults NAME JSON | kill NAME | restart NAME
//	platform faults JSON
//	poison TIMES
//		sends a request that crashes servers, to one daemon after the other;
//		the figures are then the codes of the answers and servers_lost
//	judge
//		waits for the load's end and reads the backend servers' logs
//	check FIGURE OP NUMBER
//		compares a figure of the judged load; OP is ==, !=, <, <=, > or >=
//
// Figures are the verdicts of package loadgen, such as whole, cut and unknown,
// the codes of pomelolock's own answers, and sent, retried, executions,
// repeated_keys, ran_but_told_not_run, whole_but_not_run, over_limit and
// refused_draining.
package scenario
