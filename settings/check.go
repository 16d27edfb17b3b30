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

// checker collects the faults of one settings file.
type checker struct {
	file   string
	result *strictjson.Result
	faults []Fault
}

// check returns all faults of decoded settings, sorted by line. It sets omitted
// advertised addresses to the listen addresses.
func check(file string, s *Settings, result *strictjson.Result) []Fault {
	c := &checker{file: file, result: result}
	for _, fault := range result.Faults {
		c.faults = append(c.faults, Fault{file, fault.Line, fault.Path, fault.Message})
	}
	c.checkStruct("", reflect.ValueOf(s).Elem())
	c.checkAddresses(s)
	c.checkCertificates(s)
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

// add records a fault unless the field or an object that contains it has one
// already.
func (c *checker) add(field, format string, args ...any) {
	covers := func(f Fault) bool {
		return f.Field == field || f.Field == "" || strings.HasPrefix(field, f.Field+".")
	}
	if !slices.ContainsFunc(c.faults, covers) {
		c.faults = append(c.faults, Fault{c.file, c.result.Line(field), field, fmt.Sprintf(format, args...)})
	}
}

// checkStruct checks the fields of a struct, which is at the given path, against
// their tags.
func (c *checker) checkStruct(path string, value reflect.Value) {
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
			c.checkStruct(name, field)
		case reflect.String:
			c.checkString(name, field.String(), tags.Tag)
		case reflect.Int, reflect.Int64:
			c.checkNumber(name, field.Int(), tags.Tag.Get("range"))
		}
	}
}

// checkString checks a field against its required and format tags.
func (c *checker) checkString(field, value string, tags reflect.StructTag) {
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

// checkNumber checks a field against its range tag.
func (c *checker) checkNumber(field string, value int64, bounds string) {
	low, high := parseRange(bounds)
	if value < low || value > high {
		c.add(field, "%d is not between %d and %d", value, low, high)
	}
}

// parseRange returns the inclusive bounds of a range tag.
func parseRange(bounds string) (low, high int64) {
	lowText, highText, _ := strings.Cut(bounds, ",")
	low, _ = strconv.ParseInt(lowText, 10, 64)
	high, _ = strconv.ParseInt(highText, 10, 64)
	return low, high
}

// checkFormat returns an error if a value does not have the format of its tag. It
// accepts any value for "file", which is checked when the file is loaded.
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

// checkAddresses sets omitted advertised addresses and rejects unspecified ones,
// such as 0.0.0.0, which other hosts cannot dial.
func (c *checker) checkAddresses(s *Settings) {
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

// checkCertificates checks that each listener has a certificate where one is
// required. The files are checked by checkCertificateFiles.
func (c *checker) checkCertificates(s *Settings) {
	for _, l := range s.listeners() {
		if l.cert == nil && !s.Plain {
			c.add("tls."+l.name, `is required unless "plain" is true`)
		}
	}
	if s.TLS.Peer != nil && s.TLS.Peer.ClientCA == "" {
		c.add("tls.peer.client_ca", "is required, since peers authenticate each other")
	}
}
