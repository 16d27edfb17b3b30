package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pomelolock/pomelolock/storage"
)

// Get implements [storage.TableService].
func (c *Client) Get(ctx context.Context, key string) (storage.Record, error) {
	call := call{op: "get", method: http.MethodGet, path: PathRecords, query: url.Values{ParamKey: {key}}}
	a, err := c.do(ctx, call)
	if err != nil {
		return storage.Record{}, err
	}
	switch a.status {
	case http.StatusOK:
		version, err := parseVersion(a)
		if err != nil {
			return storage.Record{}, failure(call, true, err)
		}
		return storage.Record{Key: key, Value: a.body, Version: version}, nil
	case http.StatusNotFound:
		return storage.Record{}, &storage.NotFoundError{Key: key}
	default:
		return storage.Record{}, statusFailure(call, a)
	}
}

// Put implements [storage.TableService].
func (c *Client) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	call := call{op: "put", method: http.MethodPut, path: PathRecords, query: condition(key, expect), body: value}
	a, err := c.do(ctx, call)
	if err != nil {
		return storage.Absent, err
	}
	switch a.status {
	case http.StatusOK:
		version, err := parseVersion(a)
		if err != nil {
			return storage.Absent, failure(call, true, err)
		}
		return version, nil
	case http.StatusPreconditionFailed:
		return storage.Absent, conflict(key, expect, a)
	default:
		return storage.Absent, statusFailure(call, a)
	}
}

// Delete implements [storage.TableService].
func (c *Client) Delete(ctx context.Context, key string, expect storage.Version) error {
	call := call{op: "delete", method: http.MethodDelete, path: PathRecords, query: condition(key, expect)}
	a, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return conflict(key, expect, a)
	default:
		return statusFailure(call, a)
	}
}

// Scan implements [storage.TableService].
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Record, error) {
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {after}, ParamLimit: {strconv.Itoa(limit)}}
	var list RecordList
	if err := c.getJSON(ctx, call{op: "scan", method: http.MethodGet, path: PathScan, query: query}, &list); err != nil {
		return nil, err
	}
	records := make([]storage.Record, 0, len(list.Records))
	for _, item := range list.Records {
		records = append(records, storage.Record(item))
	}
	return records, nil
}

func (c *Client) getJSON(ctx context.Context, call call, into any) error {
	a, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return statusFailure(call, a)
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return failure(call, true, &AnswerError{Err: err})
	}
	return nil
}

func condition(key string, expect storage.Version) url.Values {
	return url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(uint64(expect), 10)}}
}

func parseVersion(a answer) (storage.Version, error) {
	version, err := strconv.ParseUint(a.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return storage.Absent, &AnswerError{Err: err}
	}
	return storage.Version(version), nil
}

func conflict(key string, expect storage.Version, a answer) error {
	// The present version is a hint; a missing one stays Absent.
	present, _ := parseVersion(a)
	return &storage.ConflictError{Key: key, Expected: expect, Present: present}
}
