package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-resty/resty/v2"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/transport"
)

const (
	// maxResponseBytes is the maximum size of a response from the platform.
	maxResponseBytes = 64 << 20
	// codeUnavailable is the error code of an unavailable platform.
	codeUnavailable = "unavailable"
)

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	// Address is the platform's address in the form IP:port.
	Address string
	// HTTP is the HTTP client. If it is nil, a new one is created.
	HTTP *http.Client
}

// Client is an HTTP client for the platform. Calls have no timeout besides their
// contexts.
type Client struct {
	address string
	rest    *resty.Client

	mu sync.Mutex
	// refused are the hashes of malformed entries of the instance list that are known to
	// the log.
	refused map[uint64]bool
}

// ErrorResponse is the platform's response to a call that had no effect.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// RegisterRequest is the request body of a registration.
type RegisterRequest struct {
	Instance ListedInstance `json:"instance"`
	// TTLMS is the time in milliseconds after which an entry expires unless it is
	// renewed. If it is 0, the entry doesn't expire.
	TTLMS int64 `json:"ttl_ms"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// ListResponse is the response to a read of the instance list.
type ListResponse struct {
	Instances []ListedInstance `json:"instances"`
}

// NewClient returns a client for the platform.
func NewClient(deps ClientDeps) *Client {
	if deps.HTTP == nil {
		deps.HTTP = transport.NewClient()
	}
	rest := resty.NewWithClient(deps.HTTP)
	rest.SetBaseURL("http://" + deps.Address)
	rest.SetResponseBodyLimit(maxResponseBytes)
	rest.SetLogger(discardLogger{})
	return &Client{
		address: deps.Address,
		rest:    rest,
		refused: map[uint64]bool{},
	}
}

// discardLogger discards resty's log lines, because all errors are returned to the
// caller.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// do sends a request and decodes the response. A response with an error status is
// returned as an error.
func (c *Client) do(ctx context.Context, step, method, path string, body, result any) error {
	var errorResponse ErrorResponse
	req := c.rest.R().SetContext(ctx).SetError(&errorResponse)
	if result != nil {
		req.SetResult(result)
	}
	if body != nil {
		req.SetBody(body)
	}
	resp, err := req.Execute(method, path)
	if transport.NotSent(err) {
		return fmt.Errorf("%s: peer %s: %w: %w", step, c.address, ErrUnavailable, err)
	}
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", step, c.address, err)
	}
	if resp.IsSuccess() {
		return nil
	}
	return c.responseError(step, resp.StatusCode(), errorResponse)
}

func (c *Client) responseError(step string, status int, errorResponse ErrorResponse) error {
	switch {
	case errorResponse.Code == codeUnavailable:
		return fmt.Errorf("%s: peer %s: %w: %s", step, c.address, ErrUnavailable, errorResponse.Message)
	case errorResponse.Code != "":
		return fmt.Errorf("%s: peer %s: %w: %s", step, c.address, ErrRefused, errorResponse.Message)
	}
	return fmt.Errorf("%s: peer %s: status %d", step, c.address, status)
}

// Append appends a record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream Stream, payload []byte) (Offset, error) {
	result := AppendResponse{Offset: -1}
	if payload == nil {
		payload = []byte{}
	}
	if err := c.do(ctx, "append", http.MethodPost, streamPath(stream), payload, &result); err != nil {
		return 0, err
	}
	if result.Offset < 0 {
		return 0, fmt.Errorf("append: peer %s: response has no offset", c.address)
	}
	return result.Offset, nil
}

func streamPath(stream Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Read returns up to limit records of a stream, starting at an offset.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	var page Page
	if err := c.do(ctx, "read", http.MethodGet, streamPath(stream)+"?"+query.Encode(), nil, &page); err != nil {
		return Page{}, err
	}
	if err := page.Check(from); err != nil {
		return Page{}, fmt.Errorf("read: peer %s: %w", c.address, err)
	}
	return page, nil
}

// Check returns an error if the page isn't a valid response to a read from the given
// offset. The records must have consecutive offsets, starting at from or, if it is higher,
// at the oldest offset. They must be within the bounds of the stream.
func (p Page) Check(from Offset) error {
	if p.Oldest < 0 || p.End < p.Oldest {
		return errors.New("page has invalid bounds")
	}
	want := max(from, p.Oldest)
	for _, record := range p.Records {
		if record.Offset != want {
			return fmt.Errorf("page has offset %d, want %d", record.Offset, want)
		}
		want++
	}
	if len(p.Records) > 0 && want > p.End {
		return errors.New("page has offsets past the end of the stream")
	}
	return nil
}

// List returns the instance list. Entries may come from other writers: one that can't be
// decoded, or has values that no instance has, is left out and logged.
func (c *Client) List(ctx context.Context) ([]ListedInstance, error) {
	var result struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := c.do(ctx, "list", http.MethodGet, "/v1/instances", nil, &result); err != nil {
		return nil, err
	}
	list := make([]ListedInstance, 0, len(result.Instances))
	for _, raw := range result.Instances {
		var instance ListedInstance
		err := json.Unmarshal(raw, &instance)
		if err == nil {
			err = instance.Check()
		}
		if err != nil {
			c.logRefused(raw, err)
			continue
		}
		list = append(list, instance)
	}
	return list, nil
}

// logRefused logs a malformed entry of the instance list. The list is read often, so an
// entry is logged once until maxRefused others were.
func (c *Client) logRefused(raw []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := xxhash.Sum64(raw)
	if c.refused[key] {
		return
	}
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[key] = true
	log.Warn().Str(event.Key, string(event.ServerRefused)).Str("peer", c.address).Err(err).
		Msg("failed to decode an entry of the instance list")
}

// maxRefused limits the malformed entries that are known to the log.
const maxRefused = 256

// Register adds an instance to the list or renews it.
func (c *Client) Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error {
	body := RegisterRequest{
		Instance: instance,
		TTLMS:    ttl.Milliseconds(),
	}
	return c.do(ctx, "register", http.MethodPost, "/v1/instances", body, nil)
}

// MarkLeaving marks an instance on the list as leaving.
func (c *Client) MarkLeaving(ctx context.Context, id string) error {
	return c.do(ctx, "leaving", http.MethodPost, "/v1/instances/"+url.PathEscape(id)+"/leaving", nil, nil)
}

// Deregister removes an instance from the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.do(ctx, "deregister", http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil, nil)
}

// FetchWeights returns after the weight store has delivered the weights of a model or
// adapter.
func (c *Client) FetchWeights(ctx context.Context, model, version string) error {
	path := "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	return c.do(ctx, "weights", http.MethodGet, path, nil, nil)
}

var (
	_ Log       = (*Client)(nil)
	_ Instances = (*Client)(nil)
	_ Registry  = (*Client)(nil)
)
