package fleet

import (
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/table"
)

// Capacity of a backend server, both in the stand-in and in its table row.
const (
	ServerSlots       = 6
	ServerConnections = 250
)

// Service describes one service and its backend servers.
type Service struct {
	// Row is the service's row in the table. It is used as it is; [NewService]
	// gives one with the defaults.
	Row table.Service
	// Servers is the number of backend servers. They are assigned to the data
	// centres round-robin.
	Servers int
	// ServiceTime is the mean service time and Distribution its distribution;
	// "" means exponential.
	ServiceTime  time.Duration
	Distribution backend.Distribution
	// Faults are injected from the start.
	Faults backend.Faults
}

// Spec describes a fleet.
type Spec struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir is the directory for settings and logs.
	Dir string
	// Region and DataCentres are the location of instances and servers.
	Region      string
	DataCentres []string
	// Entries is the number of daemons. They are assigned to the data centres
	// round-robin.
	Entries  int
	Services []Service
	Routes   []table.Route
	// Fleet is the table's fleet row; the zero value means the defaults.
	Fleet table.Fleet
	// Seed makes the backend stand-ins reproducible. Server i of every service
	// uses Seed+i.
	Seed uint64
	// BalancerLag is the daemons' stop.balancer_lag_ms.
	BalancerLag time.Duration
	// LogLevel is the daemons' log level; "" means the default of the settings.
	LogLevel string
}

func (s *Spec) dataCentre(i int) string { return s.DataCentres[i%len(s.DataCentres)] }

// NewService returns a service row with the defaults and ChecksMark set.
func NewService(name string) table.Service {
	var row table.Service
	row.SetDefaults()
	row.Name = name
	row.ChecksMark = true
	return row
}

// Vltava returns the services and routes of the example workspace Tapetárna Vltava:
// the pattern catalogue, order intake and roll stock.
func Vltava() ([]Service, []table.Route) {
	const (
		catalogue = "pattern-catalogue"
		orders    = "order-intake"
		stock     = "roll-stock"
	)
	services := []Service{
		{Row: NewService(catalogue), Servers: 20, ServiceTime: 10 * time.Millisecond},
		{Row: NewService(orders), Servers: 8, ServiceTime: 15 * time.Millisecond},
		{Row: NewService(stock), Servers: 6, ServiceTime: 10 * time.Millisecond},
	}
	services[0].Row.Mode = table.ModeCost
	routes := []table.Route{
		{PathPrefix: "/patterns", Service: catalogue, Repeatable: true},
		{PathPrefix: "/stock", Service: stock, Repeatable: true},
		{PathPrefix: "/stock/reservations", Method: "POST", Service: stock, KeyRequired: true},
		{PathPrefix: "/orders", Method: "POST", Service: orders, KeyRequired: true},
		{PathPrefix: "/orders", Service: orders, Repeatable: true},
	}
	return services, routes
}

func serverName(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

// Document returns the fleet's table, with a row for each backend server.
func (f *Fleet) Document() table.Document {
	doc := table.Document{Fleet: f.spec.Fleet, Routes: f.spec.Routes}
	if doc.Fleet == (table.Fleet{}) {
		doc.Fleet.SetDefaults()
	}
	for _, service := range f.spec.Services {
		doc.Services = append(doc.Services, service.Row)
	}
	for _, server := range f.Backends {
		row := table.Server{
			Service:     server.Service,
			Name:        server.Name,
			Address:     server.Address,
			DataCentre:  server.DataCentre,
			Weight:      1,
			Slots:       ServerSlots,
			Connections: ServerConnections,
			State:       table.ServerServing,
		}
		doc.Servers = append(doc.Servers, row)
	}
	return doc
}
