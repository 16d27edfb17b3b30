package table

import (
	"fmt"
	"net/netip"
	"path"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// Maximum number of rows per sheet.
const (
	MaxServices = 1000
	MaxRoutes   = 10000
	MaxServers  = 20000
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,252})$`)
)

// Validate checks all rows of a document. It fails with [InvalidError].
func Validate(doc Document) error {
	if faults := check(doc); len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return nil
}

type checker struct {
	faults []Fault
}

func (c *checker) add(sheet Sheet, row int, column, format string, args ...any) {
	fault := Fault{Sheet: sheet, Row: row, Column: column, Message: fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, fault)
}

func check(doc Document) []Fault {
	c := &checker{}
	c.size(SheetServices, len(doc.Services), MaxServices)
	c.size(SheetRoutes, len(doc.Routes), MaxRoutes)
	c.size(SheetServers, len(doc.Servers), MaxServers)
	if len(c.faults) > 0 {
		return c.faults
	}
	c.cells(SheetFleet, 0, doc.Fleet)
	services := c.services(doc.Services)
	c.routes(doc.Routes, services)
	c.servers(doc.Servers, services)
	if doc.NeedsKeys() {
		c.add("workspaces", 0, "", "workspaces are served on the users' platform only")
	}
	return c.faults
}

func (c *checker) size(sheet Sheet, rows, limit int) {
	if rows > limit {
		c.add(sheet, 0, "", "%d rows, at most %d are allowed", rows, limit)
	}
}

// index maps a key to the row in which it first occurs.
type index map[string]int

func (c *checker) unique(seen index, sheet Sheet, row int, column, key string) {
	if first, ok := seen[key]; ok {
		c.add(sheet, row, column, "%q is already in row %d", key, first)
		return
	}
	seen[key] = row
}

func (c *checker) services(rows []Service) index {
	names := make(index, len(rows))
	for i, service := range rows {
		c.cells(SheetServices, i+1, service)
		c.unique(names, SheetServices, i+1, "name", service.Name)
	}
	return names
}

func (c *checker) routes(rows []Route, services index) {
	seen := make(index, len(rows))
	for i, route := range rows {
		c.cells(SheetRoutes, i+1, route)
		c.unique(seen, SheetRoutes, i+1, "path_prefix", route.key())
		c.reference(SheetRoutes, i+1, route.Service, services)
		c.split(i+1, route, services)
		if route.Repeatable && route.KeyRequired {
			c.add(SheetRoutes, i+1, "key_required", "a repeatable route needs no key")
		}
	}
}

func (c *checker) servers(rows []Server, services index) {
	names, addresses := make(index, len(rows)), make(index, len(rows))
	for i, server := range rows {
		c.cells(SheetServers, i+1, server)
		c.unique(names, SheetServers, i+1, "name", server.Name)
		c.unique(addresses, SheetServers, i+1, "address", server.Address)
		c.reference(SheetServers, i+1, server.Service, services)
	}
}

// split checks that the service of each share of a route exists.
func (c *checker) split(row int, route Route, services index) {
	shares, err := parseSplit(route.Split)
	if err != nil {
		return // reported by cells
	}
	for _, share := range shares {
		if _, ok := services[share.Service]; !ok {
			c.add(SheetRoutes, row, "split", "no service is called %q", share.Service)
		}
	}
}

func (c *checker) reference(sheet Sheet, row int, service string, services index) {
	if _, ok := services[service]; !ok {
		c.add(sheet, row, "service", "no service is called %q", service)
	}
}

// cells checks each column of a row against the tags of its field.
func (c *checker) cells(sheet Sheet, row int, value any) {
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if err := checkCell(v.Field(i), field.Tag); err != nil {
			c.add(sheet, row, strictjson.FieldName(field), "%v", err)
		}
	}
}

func checkCell(value reflect.Value, tags reflect.StructTag) error {
	switch value.Kind() {
	case reflect.String:
		if allowed := tags.Get("enum"); allowed != "" {
			return checkEnum(value.String(), allowed)
		}
		return checkFormat(value.String(), tags.Get("format"))
	case reflect.Float64:
		return checkRange(value.Float(), value, tags.Get("range"))
	case reflect.Int, reflect.Int64:
		return checkRange(float64(value.Int()), value, tags.Get("range"))
	}
	return nil
}

func checkRange(number float64, value reflect.Value, bounds string) error {
	first, second, _ := strings.Cut(bounds, ",")
	low, _ := strconv.ParseFloat(first, 64)
	high, _ := strconv.ParseFloat(second, 64)
	if number >= low && number <= high {
		return nil
	}
	return fmt.Errorf("%v is not between %s and %s", value, first, second)
}

func checkEnum(value, allowed string) error {
	choices := strings.Split(allowed, ",")
	if slices.Contains(choices, value) {
		return nil
	}
	return fmt.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
}

func checkFormat(value, format string) error {
	switch format {
	case "name":
		if !namePattern.MatchString(value) {
			return fmt.Errorf("%q is not a name of 1 to 63 letters, digits, '.', '_' or '-'", value)
		}
	case "method":
		if value != "" && !methodPattern.MatchString(value) {
			return fmt.Errorf("%q is not a method in capitals", value)
		}
	case "host":
		if value != "" && !hostPattern.MatchString(value) {
			return fmt.Errorf("%q is not a host name in lower case without a port", value)
		}
	case "health":
		if value != "" && !isCleanPath(value) {
			return fmt.Errorf("%q is not a clean path that starts with /", value)
		}
	case "split":
		if _, err := parseSplit(value); err != nil {
			return err
		}
	case "path":
		if !isCleanPath(value) {
			return fmt.Errorf("%q is not a clean path that starts with /", value)
		}
	case "addrport":
		address, err := netip.ParseAddrPort(value)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			return fmt.Errorf("%q is not an IP address with a port", value)
		}
	}
	return nil
}

func isCleanPath(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?#") {
		return false
	}
	return prefix == "/" || path.Clean(prefix) == strings.TrimSuffix(prefix, "/")
}

// key returns the identifier of a route within its sheet.
func (r Route) key() string {
	return strings.TrimSpace(r.Host + " " + r.Method + " " + r.PathPrefix)
}
