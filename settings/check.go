package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

const sha256Bytes = 32

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	levels      = []string{"debug", "info", "warn", "error"}
)

type checker struct {
	file   string
	result *strictjson.Result
	faults []Fault
}

// check returns every fault of decoded settings and fills in the advertised
// addresses that were omitted.
func check(file string, s *Settings, result *strictjson.Result) []Fault {
	c := &checker{file: file, result: result}
	for _, fault := range result.Faults {
		c.faults = append(c.faults, Fault{file, fault.Line, fault.Path, fault.Message})
	}
	c.structure("", reflect.ValueOf(s).Elem())
	c.addresses(s)
	c.certificates(s)
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

// add records a fault unless the field already has one.
func (c *checker) add(field, format string, args ...any) {
	known := func(f Fault) bool {
		return f.Field == field || f.Field == "" || strings.HasPrefix(field, f.Field+".")
	}
	if !slices.ContainsFunc(c.faults, known) {
		c.faults = append(c.faults, Fault{c.file, c.result.Line(field), field, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) structure(path string, value reflect.Value) {
	for i := range value.NumField() {
		field, tags := value.Field(i), value.Type().Field(i)
		name := strictjson.FieldName(tags)
		if path != "" {
			name = path + "." + name
		}
		if field.Kind() == reflect.Pointer {
			if field.IsNil() {
				continue
			}
			field = field.Elem()
		}
		switch field.Kind() {
		case reflect.Struct:
			c.structure(name, field)
		case reflect.String:
			c.text(name, field.String(), tags.Tag)
		case reflect.Int, reflect.Int64:
			c.number(name, field.Int(), tags.Tag.Get("range"))
		}
	}
}

func (c *checker) text(field, value string, tags reflect.StructTag) {
	if value == "" {
		if tags.Get("required") == "true" {
			c.add(field, "is required")
		}
		return
	}
	if err := checkFormat(tags.Get("format"), value); err != nil {
		c.add(field, "%v", err)
	}
}

func (c *checker) number(field string, value int64, bounds string) {
	low, high := splitRange(bounds)
	if value < low || value > high {
		c.add(field, "%d is not between %d and %d", value, low, high)
	}
}

func splitRange(bounds string) (low, high int64) {
	first, second, _ := strings.Cut(bounds, ",")
	low, _ = strconv.ParseInt(first, 10, 64)
	high, _ = strconv.ParseInt(second, 10, 64)
	return low, high
}

func checkFormat(format, value string) error {
	switch format {
	case "name":
		if !namePattern.MatchString(value) {
			return fmt.Errorf("%q is not a name of up to 63 letters, digits, '.', '_' or '-'", value)
		}
	case "addrport":
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%q is not an IP address with a port", value)
		}
	case "url":
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("%q is not an http or https URL", value)
		}
	case "sha256":
		if sum, err := hex.DecodeString(value); err != nil || len(sum) != sha256Bytes {
			return fmt.Errorf("want %d hexadecimal digits", 2*sha256Bytes)
		}
	case "level":
		if !slices.Contains(levels, value) {
			return fmt.Errorf("%q is not one of %s", value, strings.Join(levels, ", "))
		}
	}
	return nil
}

// addresses checks that others can dial what is advertised.
func (c *checker) addresses(s *Settings) {
	for _, pair := range []struct {
		name      string
		listen    string
		advertise *string
	}{
		{"caller", s.Listen.Caller, &s.Advertise.Caller},
		{"peer", s.Listen.Peer, &s.Advertise.Peer},
		{"operator", s.Listen.Operator, &s.Advertise.Operator},
	} {
		if *pair.advertise == "" {
			*pair.advertise = pair.listen
		}
		address, err := netip.ParseAddrPort(*pair.advertise)
		if err == nil && address.Addr().IsUnspecified() {
			c.add("advertise."+pair.name, "%s cannot be dialled; give the address that others use", address)
		}
	}
}

func (c *checker) certificates(s *Settings) {
	for _, l := range s.listeners() {
		if l.cert == nil && !s.Plain {
			c.add("tls."+l.name, `is required unless "plain" is true`)
		}
	}
	if s.TLS.Peer != nil && s.TLS.Peer.ClientCA == "" {
		c.add("tls.peer.client_ca", "is required, since peers authenticate each other")
	}
}
