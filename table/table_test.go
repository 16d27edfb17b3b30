package table_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/table"
)

const sample = `{
  // Pattern books.
  "services": [
    {"name": "catalogue", "mode": "cost"},
    {"name": "orders", "retry_percent": 0},
  ],
  "routes": [
    {"path_prefix": "/patterns/", "service": "catalogue", "repeatable": true},
    {"method": "POST", "path_prefix": "/orders", "service": "orders", "key_required": true},
  ],
  "servers": [
    {"service": "catalogue", "name": "cat-1", "address": "127.0.0.1:7001", "data_centre": "praha-1", "slots": 6, "connections": 250},
    {"service": "orders", "name": "ord-1", "address": "127.0.0.1:7101", "data_centre": "praha-1", "slots": 6, "connections": 250},
  ],
}`

func parseSample(t *testing.T) table.Document {
	t.Helper()
	doc, err := table.Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func faultTexts(err error) []string {
	var invalid *table.InvalidError
	if !errors.As(err, &invalid) {
		return []string{fmt.Sprintf("not an InvalidError: %v", err)}
	}
	var texts []string
	for _, fault := range invalid.Faults {
		texts = append(texts, fault.String())
	}
	return texts
}

func TestParseFillsOmittedColumnsOnly(t *testing.T) {
	g := NewWithT(t)
	doc := parseSample(t)
	g.Expect(doc.Services[1].RetryPercent).To(Equal(0))
	g.Expect(doc.Services[0].RetryPercent).To(Equal(10))
	g.Expect(doc.Services[0].Policy).To(Equal(table.PolicyLeases))
	g.Expect(doc.Servers[0].State).To(Equal(table.ServerServing))
	g.Expect(doc.Fleet.ClaimWritesPerSecond).To(BeNumerically(">", 0))
}

func TestParseReportsEveryFaultWithPosition(t *testing.T) {
	g := NewWithT(t)
	_, err := table.Parse([]byte(`{
"fleet": {"probes_per_second": -1},
"services": [
  {"name": "a", "mode": "fast"},
  {"name": "a", "objective_percent": 100},
  {"weight": "heavy", "colour": 1}],
"routes": [
  {"path_prefix": "x", "service": "b"},
  {"path_prefix": "/y", "service": "a", "repeatable": true, "key_required": true},
  {"path_prefix": "/y", "service": "a", "method": "get", "host": "A:1"}],
"servers": [
  {"service": "a", "name": "s", "address": "127.0.0.1:1", "data_centre": "d", "slots": 0},
  {"service": "a", "name": "s", "address": "127.0.0.1:1", "data_centre": "d", "slots": 1, "connections": 1, "state": "gone"}],
"colour": 1}`))
	g.Expect(faultTexts(err)).To(ConsistOf(
		`fleet, line 2, column probes_per_second: -1 is not between 0 and 100000`,
		`services, row 1, line 4, column mode: "fast" is not one of tail, cost`,
		`services, row 2, line 5, column name: "a" is already in row 1`,
		`services, row 2, line 5, column objective_percent: 100 is not between 1 and 99.999`,
		`services, row 3, line 6, column name: "" is not a name of 1 to 63 letters, digits, '.', '_' or '-'`,
		`services, row 3, line 6, column weight: want a number, found a string`,
		`services, row 3, line 6, column colour: unknown field`,
		`routes, row 1, line 8, column path_prefix: "x" is not a clean path that starts with /`,
		`routes, row 1, line 8, column service: no service is called "b"`,
		`routes, row 2, line 9, column key_required: a repeatable route needs no key`,
		`routes, row 3, line 10, column host: "A:1" is not a host name in lower case without a port`,
		`routes, row 3, line 10, column method: "get" is not a method in capitals`,
		`servers, row 1, line 12, column slots: 0 is not between 1 and 10000`,
		`servers, row 1, line 12, column connections: 0 is not between 1 and 100000`,
		`servers, row 2, line 13, column name: "s" is already in row 1`,
		`servers, row 2, line 13, column address: "127.0.0.1:1" is already in row 1`,
		`servers, row 2, line 13, column state: "gone" is not one of serving, draining`,
		`line 14, column colour: unknown field`,
	))
}

func TestDiffListsRowsAndCells(t *testing.T) {
	g := NewWithT(t)
	before, after := parseSample(t), parseSample(t)
	after.Fleet.ProbesPerSecond = 0
	after.Services[0].Weight = 3
	after.Servers = append(after.Servers[:1:1], table.Server{Name: "ord-2", Service: "orders"})
	after.Routes[0], after.Routes[1] = after.Routes[1], after.Routes[0]
	g.Expect(table.Diff(before, before)).To(BeEmpty())
	var texts []string
	for _, change := range table.Diff(before, after) {
		texts = append(texts, change.String())
	}
	g.Expect(texts).To(Equal([]string{
		"~ fleet  probes_per_second: 20 -> 0",
		"~ services catalogue weight: 1 -> 3",
		"+ servers ord-2: service=orders name=ord-2",
		"- servers ord-1: service=orders name=ord-1 address=127.0.0.1:7101 data_centre=praha-1 weight=1 slots=6 connections=250 state=serving",
	}))
}

func TestCSVRoundTripAndSpreadsheetVariants(t *testing.T) {
	g := NewWithT(t)
	doc := parseSample(t)
	files, err := table.ExportCSV(doc)
	g.Expect(err).NotTo(HaveOccurred())
	back, err := table.ImportCSV(files, doc.Version)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(doc))
	for i := range files {
		files[i].Data = []byte("\ufeff" + strings.ReplaceAll(strings.ReplaceAll(string(files[i].Data), ",", ";"), "true", "TRUE"))
	}
	back, err = table.ImportCSV(files, doc.Version)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(doc))
}

func TestImportCSVReportsSpreadsheetRow(t *testing.T) {
	g := NewWithT(t)
	_, err := table.ImportCSV([]table.SheetFile{{Sheet: table.SheetServices, Data: []byte("name,weight\na,\nb,x\n")}}, 0)
	g.Expect(faultTexts(err)).To(Equal([]string{`services, row 2, line 3, column weight: want a whole number, found "x"`}))
	_, err = table.ImportCSV([]table.SheetFile{{Sheet: table.SheetServices, Data: []byte("name,weight\na,\nb,0\nc\n")}}, 0)
	g.Expect(faultTexts(err)).To(Equal([]string{`services, row 3, line 4: wrong number of fields`}))
	_, err = table.ImportCSV([]table.SheetFile{{Sheet: table.SheetServices, Data: []byte("name,colour\na,1\n")}}, 0)
	g.Expect(faultTexts(err)).To(Equal([]string{`services, line 1, column colour: unknown or repeated column`}))
	_, err = table.ImportCSV([]table.SheetFile{{Sheet: table.SheetServices, Data: []byte("name,weight\na,\n\nb,0\n")}}, 0)
	g.Expect(faultTexts(err)).To(Equal([]string{`services, row 2, line 4, column weight: 0 is not between 1 and 1000`}))
}

func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := table.Parse(data)
		if err != nil {
			var invalid *table.InvalidError
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Fatalf("untyped or empty error: %v", err)
			}
			return
		}
		encoded, err := table.Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := table.Parse(encoded)
		if err != nil || len(table.Diff(doc, again)) > 0 {
			t.Fatalf("encoding and parsing changed a valid table: %v", err)
		}
		table.Compile(doc)
	})
}

func FuzzImportCSV(f *testing.F) {
	f.Fuzz(func(t *testing.T, services, servers string) {
		doc, err := table.ImportCSV([]table.SheetFile{
			{Sheet: table.SheetServices, Data: []byte(services)},
			{Sheet: table.SheetServers, Data: []byte(servers)},
		}, 1)
		if err != nil {
			return
		}
		files, err := table.ExportCSV(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := table.ImportCSV(files, 1)
		if err != nil || len(table.Diff(doc, again)) > 0 {
			t.Fatalf("CSV export and import changed a valid table: %v", err)
		}
	})
}
