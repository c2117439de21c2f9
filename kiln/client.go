package kiln

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/transport"
)

// maxAnswerBytes bounds an engine's answer other than a stream.
const maxAnswerBytes = 16 << 20

// ClientDeps is what a Client uses.
type ClientDeps struct {
	// Address is the engine's IP:port.
	Address string
	// HTTP is the client, shared by all engines; nil for a new one.
	HTTP *http.Client
}

// Client is an engine over HTTP. Its calls end with their contexts only, and a
// stream ends with the context of its Decode.
type Client struct {
	address string
	http    *http.Client
	rest    *resty.Client
}

// NewClient returns a client of the engine.
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
		http:    deps.HTTP,
		rest:    rest,
	}
}

// quiet drops resty's own log lines; errors are returned.
type quiet struct{}

func (quiet) Errorf(string, ...any) {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Debugf(string, ...any) {}

// Address returns the engine's IP:port.
func (c *Client) Address() string { return c.address }

func (c *Client) post(ctx context.Context, call, path string, body, answer any) error {
	req := c.rest.R().SetContext(ctx).SetBody(body)
	return c.execute(req, call, http.MethodPost, path, answer)
}

func (c *Client) get(ctx context.Context, call, path string, answer any) error {
	return c.execute(c.rest.R().SetContext(ctx), call, http.MethodGet, path, answer)
}

func (c *Client) execute(req *resty.Request, call, method, path string, answer any) error {
	var refusal ErrorResponse
	req.SetError(&refusal)
	if answer != nil {
		req.SetResult(answer)
	}
	resp, err := req.Execute(method, path)
	if err != nil {
		return c.failed(call, err)
	}
	if resp.IsSuccess() {
		return nil
	}
	return c.refused(call, resp.StatusCode(), refusal)
}

// failed returns the error of a call whose answer is missing.
func (c *Client) failed(call string, err error) error {
	if transport.NotSent(err) {
		return &NotSentError{
			Peer: c.address,
			Call: call,
			Err:  err,
		}
	}
	return fmt.Errorf("%s: peer %s: %w", call, c.address, err)
}

func (c *Client) refused(call string, status int, refusal ErrorResponse) error {
	if refusal.Code == "" {
		return fmt.Errorf("%s: peer %s: status %d", call, c.address, status)
	}
	return &EngineError{
		Peer:    c.address,
		Call:    call,
		Code:    refusal.Code,
		Message: refusal.Message,
	}
}

// Reserve sets a slot and memory aside.
func (c *Client) Reserve(ctx context.Context, req ReserveRequest) error {
	return c.post(ctx, "reserve", PathReserve, req, nil)
}

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error) {
	var result PrefillResult
	err := c.post(ctx, "prefill", PathPrefill, req, &result)
	return result, err
}

// Import fetches an exported KV cache into reserved memory.
func (c *Client) Import(ctx context.Context, req ImportRequest) error {
	return c.post(ctx, "import", PathImport, req, nil)
}

// Cancel frees everything held for the attempt.
func (c *Client) Cancel(ctx context.Context, attempt string, owner Owner) error {
	body := CancelRequest{
		Attempt: attempt,
		Owner:   owner,
	}
	return c.post(ctx, "cancel", PathCancel, body, nil)
}

// KeepAlive renews everything that the instance holds.
func (c *Client) KeepAlive(ctx context.Context, instance string) error {
	return c.post(ctx, "keep_alive", PathKeepAlive, KeepAliveRequest{Instance: instance}, nil)
}

// Holdings lists the memory held.
func (c *Client) Holdings(ctx context.Context) ([]Holding, error) {
	var answer HoldingsResponse
	err := c.get(ctx, "holdings", PathHoldings, &answer)
	return answer.Holdings, err
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, "load", PathLoad, &report)
	return report, err
}

// Events reads the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var answer EventsResponse
	err := c.get(ctx, "events", PathEvents+"?after="+strconv.FormatUint(after, 10), &answer)
	return answer.Events, err
}

// Order changes what the engine serves.
func (c *Client) Order(ctx context.Context, req OrderRequest) (EngineState, error) {
	var state EngineState
	err := c.post(ctx, "order", PathOrders, req, &state)
	return state, err
}

// State reads back what the engine serves.
func (c *Client) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	err := c.get(ctx, "state", PathState, &state)
	return state, err
}

// Decode starts or resumes a generation.
func (c *Client) Decode(ctx context.Context, req DecodeRequest) (Stream, error) {
	const call = "decode"
	raw, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("decode: encode: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.open(ctx, raw)
	if err != nil {
		cancel()
		return nil, c.failed(call, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		var refusal ErrorResponse
		err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&refusal)
		return nil, errors.Join(c.refused(call, resp.StatusCode, refusal), err)
	}
	return newStream(ctx, cancel, c.address, req.Attempt, resp.Body), nil
}

func (c *Client) open(ctx context.Context, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+PathDecode, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return c.http.Do(req)
}

var _ Engine = (*Client)(nil)
