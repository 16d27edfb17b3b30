package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pomelolock/pomelolock/storage"
)

// PutObject implements [storage.ObjectStore].
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, request{op: "put object", method: http.MethodPut, path: PathObjects, query: url.Values{ParamName: {name}}, body: data})
}

// GetObject implements [storage.ObjectStore].
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	req := request{op: "get object", method: http.MethodGet, path: PathObjects, query: url.Values{ParamName: {name}}, limit: MaxValueBytes}
	resp, err := c.do(ctx, req)
	if err != nil {
		return nil, err
	}
	switch resp.status {
	case http.StatusOK:
		return resp.body, nil
	case http.StatusNotFound:
		return nil, &storage.NotFoundError{Key: name}
	default:
		return nil, statusError(req, resp)
	}
}

// ListObjects implements [storage.ObjectStore].
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var list NameList
	req := request{op: "list objects", method: http.MethodGet, path: PathObjectNames, query: url.Values{ParamPrefix: {prefix}}, limit: maxListBytes, commas: maxListCommas}
	if err := c.getList(ctx, req, &list); err != nil {
		return nil, err
	}
	return list.Names, nil
}

// DeleteObject implements [storage.ObjectStore].
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.write(ctx, request{op: "delete object", method: http.MethodDelete, path: PathObjects, query: url.Values{ParamName: {name}}})
}

// ListInstances implements [storage.InstanceList].
func (c *Client) ListInstances(ctx context.Context) ([]storage.Instance, error) {
	var rows InstanceRows
	if err := c.getList(ctx, request{op: "list instances", method: http.MethodGet, path: PathInstances, limit: maxListBytes, commas: maxInstanceCommas}, &rows); err != nil {
		return nil, err
	}
	return rows.Instances, nil
}

// SetInstance implements [storage.InstanceList].
func (c *Client) SetInstance(ctx context.Context, instance storage.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return &storage.UnavailableError{Op: "set instance", Err: err}
	}
	return c.write(ctx, request{op: "set instance", method: http.MethodPut, path: PathInstances, body: body})
}

// RemoveInstance implements [storage.InstanceList].
func (c *Client) RemoveInstance(ctx context.Context, id string) error {
	return c.write(ctx, request{op: "remove instance", method: http.MethodDelete, path: PathInstances, query: url.Values{ParamID: {id}}})
}

func (c *Client) write(ctx context.Context, req request) error {
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if resp.status != http.StatusNoContent {
		return statusError(req, resp)
	}
	return nil
}
