package main

import (
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/table"
)

const (
	dataCentre = "dc-1"
	// hopService is measured through the daemons, directService without them.
	hopService     = "hop"
	directService  = "direct"
	hopServiceTime = time.Millisecond
	pathPrefix     = "/"

	deadlineMS = 1000
)

func (c *cli) spec(dir string) fleet.Spec {
	spec := fleet.Spec{
		Bin:         c.Bin,
		Dir:         dir,
		Region:      "region-1",
		DataCentres: []string{dataCentre},
		Entries:     c.Entries,
		Seed:        c.Seed,
		LogLevel:    "warn",
	}
	for _, v := range variants {
		row := fleet.NewService(v.name)
		row.Policy = v.policy
		row.HedgePercentile = v.hedge
		row.DeadlineMS = deadlineMS
		spec.Services = append(spec.Services, fleet.Service{Row: row, Servers: c.Servers, ServiceTime: c.ServiceTime})
		spec.Routes = append(spec.Routes, table.Route{PathPrefix: pathPrefix + v.name, Service: row.Name, Repeatable: true})
	}
	for _, name := range []string{hopService, directService} {
		service := fleet.Service{
			Row: fleet.NewService(name), Servers: 1, ServiceTime: hopServiceTime, Distribution: backend.DistributionFixed,
		}
		spec.Services = append(spec.Services, service)
		spec.Routes = append(spec.Routes, table.Route{PathPrefix: pathPrefix + name, Service: name, Repeatable: true})
	}
	return spec
}

// capacity returns the requests per second that a policy's servers can run.
func (c *cli) capacity() float64 {
	return float64(c.Servers*fleet.ServerSlots) / c.ServiceTime.Seconds()
}

// Slow episodes as on the users' sites: on average a quarter of the machines that
// run the servers are four times slower, each for 300 ms.
const (
	siteSlowFactor = 4
	siteSlowMS     = 300
	siteSlowGapMS  = 900
)

// faults returns the random slow episodes of the servers.
func (c *cli) faults() backend.Faults {
	if c.SiteNoise {
		return backend.Faults{Episodes: backend.Episodes{
			Factor: siteSlowFactor, DurationMS: siteSlowMS, MeanGapMS: siteSlowGapMS, Seed: c.Seed,
		}}
	}
	return backend.Faults{Episodes: backend.Episodes{
		Factor: c.SlowFactor, DurationMS: c.SlowMS, MeanGapMS: c.SlowGapMS, Seed: c.Seed,
	}}
}
