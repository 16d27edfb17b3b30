package locality

import (
	"time"

	"github.com/pomelolock/pomelolock/placement"
)

const (
	// slowdownLimit is the slowdown above which a server counts as slow. It is the slowdown
	// that placement expects of a server of which nothing is known.
	slowdownLimit = 1.6
	// maxAge bounds the age that is assumed of the knowledge of a data centre.
	maxAge = time.Second
)

// Site is what is known of the servers of one service in one data centre. [Site.Add] fills
// all fields but DataCentre and Delay.
type Site struct {
	DataCentre string
	// Delay is the one-way delay to the servers there, beyond that to local ones.
	Delay time.Duration
	// Servers is the number of servers. Cold and Slow count those that are just warming up
	// and those that are slowed down; Unusable those that fail or take no requests.
	Servers, Cold, Slow, Unusable int
	// Capacity is the number of requests that the servers run without slowing down. Cold
	// and unusable servers add nothing to it, slow ones less.
	Capacity float64
	// InFlight is the number of requests running or waiting there.
	InFlight float64
	// Weight is the weight with which [placement.Sample] draws the servers there, without
	// the penalty for another data centre.
	Weight float64
	// Age is the mean age of the load reports, Reports their number.
	Age     time.Duration
	Reports int
}

// Add adds a server, assessed without a penalty for another data centre.
func (s *Site) Add(c placement.Candidate, a placement.Assessment) {
	s.Servers++
	if c.Load.HasReport {
		s.Reports++
		s.Age += (min(max(c.Load.Age, 0), maxAge) - s.Age) / time.Duration(s.Reports)
	}
	if !a.Healthy || c.Quiet && !a.Limited {
		s.Unusable++
		return
	}
	s.InFlight += float64(a.InFlight)
	if !a.Closed {
		s.Weight += placement.CostWeight(a.Cost / a.Time)
	}
	switch {
	case c.Cold || a.Limited:
		s.Cold++
	case a.Slowdown > slowdownLimit:
		s.Slow++
		s.Capacity += float64(a.Capacity) * slowdownLimit / a.Slowdown
	default:
		s.Capacity += float64(a.Capacity)
	}
}

// Work describes the requests of a service.
type Work struct {
	// ServiceTime is the time of a usual request at a local server, Target the time within
	// which callers want the response, 0 if unknown.
	ServiceTime, Target time.Duration
	// ResponseBytes is the size of a usual response, BytePrice the price of a megabyte sent
	// between data centres, in seconds of a caller's time.
	ResponseBytes, BytePrice float64
}

// factor returns by how much a request at a data centre costs more than at a local server, as
// a factor.
func (w Work) factor(delay time.Duration) float64 {
	const megabyte = 1e6
	extra := 2*delay.Seconds() + w.BytePrice*w.ResponseBytes/megabyte
	return 1 + extra/max(w.ServiceTime, time.Millisecond).Seconds()
}

// inTime reports whether a response from another data centre can meet the target.
func (w Work) inTime(delay time.Duration) bool {
	return w.Target <= 0 || w.ServiceTime+2*delay <= max(w.Target, w.ServiceTime)
}
