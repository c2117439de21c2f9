package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/transport"
)

const (
	// maxAnswerBytes bounds an answer of the platform.
	maxAnswerBytes = 64 << 20
	// The codes of the platform's refusals.
	codeUnavailable = "unavailable"
)

// ClientDeps is what a Client uses.
type ClientDeps struct {
	// Address is the platform's IP:port.
	Address string
	// HTTP is the client, nil for a new one.
	HTTP *http.Client
}

// Client is the platform over HTTP. Its calls end with their contexts only.
type Client struct {
	address string
	rest    *resty.Client
}

// ErrorResponse is the platform's answer to a call without effect.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// RegisterRequest is the body of a registration.
type RegisterRequest struct {
	Instance ListedInstance `json:"instance"`
	// TTLMS is the time after which an entry that is not renewed is dropped, in
	// milliseconds; 0 for never.
	TTLMS int64 `json:"ttl_ms"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// ListResponse is the answer to a read of the instance list.
type ListResponse struct {
	Instances []ListedInstance `json:"instances"`
}

// NewClient returns a client of the platform.
func NewClient(deps ClientDeps) *Client {
	if deps.HTTP == nil {
		deps.HTTP = transport.NewClient()
	}
	rest := resty.NewWithClient(deps.HTTP)
	rest.SetBaseURL("http://" + deps.Address)
	rest.SetResponseBodyLimit(maxAnswerBytes)
	rest.SetLogger(quiet{})
	return &Client{
		address: deps.Address,
		rest:    rest,
	}
}

// quiet drops resty's own log lines; errors are returned.
type quiet struct{}

func (quiet) Errorf(string, ...any) {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Debugf(string, ...any) {}

// do sends one call and turns a refusal into an error.
func (c *Client) do(ctx context.Context, step, method, path string, body, answer any) error {
	var refusal ErrorResponse
	req := c.rest.R().SetContext(ctx).SetError(&refusal)
	if answer != nil {
		req.SetResult(answer)
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
	return c.refused(step, resp.StatusCode(), refusal)
}

func (c *Client) refused(step string, status int, refusal ErrorResponse) error {
	switch {
	case refusal.Code == codeUnavailable:
		return fmt.Errorf("%s: peer %s: %w: %s", step, c.address, ErrUnavailable, refusal.Message)
	case refusal.Code != "":
		return fmt.Errorf("%s: peer %s: %w: %s", step, c.address, ErrRefused, refusal.Message)
	}
	return fmt.Errorf("%s: peer %s: status %d", step, c.address, status)
}

// Append adds a record to a stream.
func (c *Client) Append(ctx context.Context, stream Stream, payload []byte) (Offset, error) {
	answer := AppendResponse{Offset: -1}
	if payload == nil {
		payload = []byte{}
	}
	if err := c.do(ctx, "append", http.MethodPost, streamPath(stream), payload, &answer); err != nil {
		return 0, err
	}
	if answer.Offset < 0 {
		return 0, fmt.Errorf("append: peer %s: answer without offset", c.address)
	}
	return answer.Offset, nil
}

func streamPath(stream Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Read returns records of a stream.
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

// Check tells whether the page is a possible answer to a read from an offset:
// consecutive offsets, none before from, all within the bounds of the stream.
func (p Page) Check(from Offset) error {
	if p.Oldest < 0 || p.End < p.Oldest {
		return errors.New("page with bounds out of order")
	}
	want := max(from, p.Oldest)
	for _, record := range p.Records {
		if record.Offset != want {
			return fmt.Errorf("page with offset %d in place of %d", record.Offset, want)
		}
		want++
	}
	if len(p.Records) > 0 && want > p.End {
		return errors.New("page with offsets past its end")
	}
	return nil
}

// List returns the instance list.
func (c *Client) List(ctx context.Context) ([]ListedInstance, error) {
	var answer ListResponse
	if err := c.do(ctx, "list", http.MethodGet, "/v1/instances", nil, &answer); err != nil {
		return nil, err
	}
	return answer.Instances, nil
}

// Register puts an instance on the list or renews it.
func (c *Client) Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error {
	body := RegisterRequest{
		Instance: instance,
		TTLMS:    ttl.Milliseconds(),
	}
	return c.do(ctx, "register", http.MethodPost, "/v1/instances", body, nil)
}

// MarkLeaving marks an instance as leaving.
func (c *Client) MarkLeaving(ctx context.Context, id string) error {
	return c.do(ctx, "leaving", http.MethodPost, "/v1/instances/"+url.PathEscape(id)+"/leaving", nil, nil)
}

// Deregister takes an instance off the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.do(ctx, "deregister", http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil, nil)
}

// FetchWeights returns once the weight store has delivered a model or adapter.
func (c *Client) FetchWeights(ctx context.Context, model, version string) error {
	path := "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	return c.do(ctx, "weights", http.MethodGet, path, nil, nil)
}

var (
	_ Log       = (*Client)(nil)
	_ Instances = (*Client)(nil)
	_ Registry  = (*Client)(nil)
)
