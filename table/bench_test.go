package table_test

import (
	"fmt"
	"testing"

	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// documentWithServers returns a table with the given number of backend servers,
// distributed over 37 services.
func documentWithServers(servers int) table.Document {
	const services = 37
	var doc table.Document
	doc.Fleet.SetDefaults()
	for i := range services {
		var service table.Service
		service.SetDefaults()
		service.Name = fmt.Sprintf("service-%d", i)
		doc.Services = append(doc.Services, service)
		doc.Routes = append(doc.Routes, table.Route{PathPrefix: fmt.Sprintf("/s%d/", i), Service: service.Name})
	}
	for i := range servers {
		doc.Servers = append(doc.Servers, table.Server{
			Service:    doc.Services[i%services].Name,
			Name:       fmt.Sprintf("server-%d", i),
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", i>>16&0xff, i>>8&0xff, i&0xff),
			DataCentre: fmt.Sprintf("dc-%d", i%7),
			Weight:     1, Slots: 6, Connections: 250, State: table.ServerServing,
		})
	}
	return doc
}

// BenchmarkAccepted measures the time to accept a version, and the bytes that are
// stored and sent to each instance, by the number of backend servers.
func BenchmarkAccepted(b *testing.B) {
	for _, servers := range []int{34, 325, 1300, 5200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			mem := memory.New()
			store := table.NewStore(mem, mem)
			doc := documentWithServers(servers)
			var packed int
			var base uint64
			for b.Loop() {
				accepted, err := store.AcceptAs(b.Context(), doc, table.Acceptance{ID: table.NewAcceptanceID(), Base: base})
				if err != nil {
					b.Fatal(err)
				}
				base, packed = accepted.Ref.Version, len(accepted.Packed)
			}
			b.ReportMetric(float64(packed), "packed-B")
		})
	}
}

// BenchmarkPutInForce measures reading and compiling a new version, which each
// instance does.
func BenchmarkPutInForce(b *testing.B) {
	for _, servers := range []int{34, 325, 1300, 5200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			mem := memory.New()
			store := table.NewStore(mem, mem)
			accepted, err := store.AcceptAs(b.Context(), documentWithServers(servers), table.Acceptance{ID: "a"})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				read, err := store.Read(b.Context(), accepted.Ref)
				if err != nil {
					b.Fatal(err)
				}
				table.Compile(read.Document)
			}
		})
	}
}
