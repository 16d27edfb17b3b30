package httpplatform

import (
	"fmt"

	"github.com/pomelolock/pomelolock/storage"
)

// Paths of the API.
const (
	PathRecords     = "/v1/records"
	PathScan        = "/v1/scan"
	PathObjects     = "/v1/objects"
	PathObjectNames = "/v1/object-names"
	PathInstances   = "/v1/instances"
)

// Query parameters of the API.
const (
	ParamKey    = "key"
	ParamExpect = "expect"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	ParamName   = "name"
	ParamID     = "id"
)

// Response headers of the API.
const (
	// HeaderVersion is the version of a record as a decimal number.
	HeaderVersion = "Record-Version"
	// HeaderNotApplied is "true" if the operation was refused and had no
	// effect.
	HeaderNotApplied = "Platform-Not-Applied"
)

// MaxValueBytes is the maximum size of a record value and of an object.
const MaxValueBytes = 16 << 20

// RecordList is the response body of a scan.
type RecordList struct {
	Records []RecordItem `json:"records"`
}

// RecordItem is one record of a scan. The value is base64-encoded in JSON.
type RecordItem struct {
	Key     string          `json:"key"`
	Value   []byte          `json:"value"`
	Version storage.Version `json:"version"`
}

// NameList is the response body of a listing of object names.
type NameList struct {
	Names []string `json:"names"`
}

// InstanceRows is the response body of a listing of instances.
type InstanceRows struct {
	Instances []storage.Instance `json:"instances"`
}

// StatusError reports a response with an unexpected status code.
type StatusError struct {
	Status int
	// Detail is the beginning of the response body.
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("httpplatform: status %d: %s", e.Status, e.Detail)
}

// ResponseError reports a response that could not be decoded.
type ResponseError struct {
	Err error
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("httpplatform: malformed answer: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *ResponseError) Unwrap() error { return e.Err }

// OptionsError reports an invalid option.
type OptionsError struct {
	Field string
	Err   error
}

func (e *OptionsError) Error() string {
	return fmt.Sprintf("httpplatform: option %s: %v", e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *OptionsError) Unwrap() error { return e.Err }
