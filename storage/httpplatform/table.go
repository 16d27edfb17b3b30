package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pomelolock/pomelolock/storage"
)

// Get implements [storage.TableService].
func (c *Client) Get(ctx context.Context, key string) (storage.Record, error) {
	req := request{op: "get", method: http.MethodGet, path: PathRecords, query: url.Values{ParamKey: {key}}, limit: MaxValueBytes}
	resp, err := c.do(ctx, req)
	if err != nil {
		return storage.Record{}, err
	}
	switch resp.status {
	case http.StatusOK:
		version, err := parseVersion(resp)
		if err != nil {
			return storage.Record{}, classifyError(req, true, err)
		}
		return storage.Record{Key: key, Value: resp.body, Version: version}, nil
	case http.StatusNotFound:
		return storage.Record{}, &storage.NotFoundError{Key: key}
	default:
		return storage.Record{}, statusError(req, resp)
	}
}

// Put implements [storage.TableService].
func (c *Client) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	req := request{op: "put", method: http.MethodPut, path: PathRecords, query: conditionQuery(key, expect), body: value}
	resp, err := c.do(ctx, req)
	if err != nil {
		return storage.Absent, err
	}
	switch resp.status {
	case http.StatusOK:
		version, err := parseVersion(resp)
		if err != nil {
			return storage.Absent, classifyError(req, true, err)
		}
		return version, nil
	case http.StatusPreconditionFailed:
		return storage.Absent, conflictError(key, expect, resp)
	default:
		return storage.Absent, statusError(req, resp)
	}
}

// Delete implements [storage.TableService].
func (c *Client) Delete(ctx context.Context, key string, expect storage.Version) error {
	req := request{op: "delete", method: http.MethodDelete, path: PathRecords, query: conditionQuery(key, expect)}
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return conflictError(key, expect, resp)
	default:
		return statusError(req, resp)
	}
}

// Scan implements [storage.TableService].
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Record, error) {
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {after}, ParamLimit: {strconv.Itoa(limit)}}
	var list RecordList
	if err := c.getList(ctx, request{op: "scan", method: http.MethodGet, path: PathScan, query: query, limit: maxScanBytes, commas: maxListCommas}, &list); err != nil {
		return nil, err
	}
	records := make([]storage.Record, 0, len(list.Records))
	for _, item := range list.Records {
		records = append(records, storage.Record(item))
	}
	return records, nil
}

// getList reads and decodes a list, one at a time. The timeout of the client includes the wait for others.
func (c *Client) getList(ctx context.Context, req request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	select {
	case c.listing <- struct{}{}:
		defer func() { <-c.listing }()
	case <-ctx.Done():
		return classifyError(req, false, ctx.Err())
	}
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return statusError(req, resp)
	}
	if bytes.Count(resp.body, []byte{','}) > req.commas {
		return classifyError(req, true, &ResponseError{Err: errManyElements})
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return classifyError(req, true, &ResponseError{Err: err})
	}
	return nil
}

func conditionQuery(key string, expect storage.Version) url.Values {
	return url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(uint64(expect), 10)}}
}

func parseVersion(resp response) (storage.Version, error) {
	version, err := strconv.ParseUint(resp.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return storage.Absent, &ResponseError{Err: err}
	}
	return storage.Version(version), nil
}

func conflictError(key string, expect storage.Version, resp response) error {
	// The current version is informational. It is Absent if the header is
	// missing or malformed.
	current, _ := parseVersion(resp)
	return &storage.ConflictError{Key: key, Expected: expect, Present: current}
}
