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

// Headers of the API.
const (
	// HeaderVersion carries the version of a record in decimal.
	HeaderVersion = "Record-Version"
	// HeaderNotApplied is "true" on a refusal that had no effect.
	HeaderNotApplied = "Platform-Not-Applied"
)

// MaxValueBytes bounds the value of a record and the size of an object.
const MaxValueBytes = 16 << 20

// RecordList is the answer to a scan.
type RecordList struct {
	Records []RecordItem `json:"records"`
}

// RecordItem is one record of a scan; the value is base64 in JSON.
type RecordItem struct {
	Key     string          `json:"key"`
	Value   []byte          `json:"value"`
	Version storage.Version `json:"version"`
}

// NameList is the answer to a listing of object names.
type NameList struct {
	Names []string `json:"names"`
}

// InstanceRows is the answer to a listing of instances.
type InstanceRows struct {
	Instances []storage.Instance `json:"instances"`
}

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	Status int
	// Detail is the start of the answer's body.
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("httpplatform: status %d: %s", e.Status, e.Detail)
}

// AnswerError reports an answer that could not be understood.
type AnswerError struct {
	Err error
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("httpplatform: malformed answer: %v", e.Err)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// OptionsError reports options that cannot be used.
type OptionsError struct {
	Field string
	Err   error
}

func (e *OptionsError) Error() string {
	return fmt.Sprintf("httpplatform: option %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *OptionsError) Unwrap() error { return e.Err }
