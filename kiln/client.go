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

// maxResponseBytes limits the size of a response other than a stream.
const maxResponseBytes = 16 << 20

// ClientDeps holds the dependencies of a Client.
type ClientDeps struct {
	// Address is the engine's IP:port.
	Address string
	// HTTP is the HTTP client, usually shared by all engines. If it is nil, a new one
	// is created.
	HTTP *http.Client
}

// Client is the HTTP client of an engine. Calls have no timeouts other than those of
// their contexts. A stream ends with the context that was given to Decode.
type Client struct {
	address string
	http    *http.Client
	rest    *resty.Client
}

// NewClient returns a client for the engine at deps.Address.
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
		http:    deps.HTTP,
		rest:    rest,
	}
}

// discardLogger discards resty's log lines, because errors are returned to the caller.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// Address returns the engine's IP:port.
func (c *Client) Address() string { return c.address }

func (c *Client) post(ctx context.Context, call, path string, body, result any) error {
	req := c.rest.R().SetContext(ctx).SetBody(body)
	return c.execute(req, call, http.MethodPost, path, result)
}

func (c *Client) get(ctx context.Context, call, path string, result any) error {
	return c.execute(c.rest.R().SetContext(ctx), call, http.MethodGet, path, result)
}

func (c *Client) execute(req *resty.Request, call, method, path string, result any) error {
	var refusal ErrorResponse
	req.SetError(&refusal)
	if result != nil {
		req.SetResult(result)
	}
	resp, err := req.Execute(method, path)
	if err != nil {
		return c.callError(call, err)
	}
	if resp.IsSuccess() {
		return nil
	}
	return c.refusalError(call, resp.StatusCode(), refusal)
}

// callError returns the error of a call without a response. It is a *NotSentError if the
// request was not sent.
func (c *Client) callError(call string, err error) error {
	if transport.NotSent(err) {
		return &NotSentError{
			Peer: c.address,
			Call: call,
			Err:  err,
		}
	}
	return fmt.Errorf("%s: peer %s: %w", call, c.address, err)
}

// refusalError returns the error of a call whose response has an error status.
func (c *Client) refusalError(call string, status int, refusal ErrorResponse) error {
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

// Reserve reserves a decode slot and memory.
func (c *Client) Reserve(ctx context.Context, req ReserveRequest) error {
	return c.post(ctx, "reserve", PathReserve, req, nil)
}

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error) {
	var result PrefillResult
	err := c.post(ctx, "prefill", PathPrefill, req, &result)
	return result, err
}

// Import makes the engine fetch an exported KV cache into reserved memory.
func (c *Client) Import(ctx context.Context, req ImportRequest) error {
	return c.post(ctx, "import", PathImport, req, nil)
}

// Cancel frees everything that the engine holds for the attempt.
func (c *Client) Cancel(ctx context.Context, attempt string, owner Owner) error {
	body := CancelRequest{
		Attempt: attempt,
		Owner:   owner,
	}
	return c.post(ctx, "cancel", PathCancel, body, nil)
}

// KeepAlive renews everything that the engine holds for the instance.
func (c *Client) KeepAlive(ctx context.Context, instance string) error {
	return c.post(ctx, "keep_alive", PathKeepAlive, KeepAliveRequest{Instance: instance}, nil)
}

// Holdings returns the memory that the engine holds for attempts.
func (c *Client) Holdings(ctx context.Context) ([]Holding, error) {
	var response HoldingsResponse
	err := c.get(ctx, "holdings", PathHoldings, &response)
	return response.Holdings, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, "load", PathLoad, &report)
	return report, err
}

// Events returns the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var response EventsResponse
	err := c.get(ctx, "events", PathEvents+"?after="+strconv.FormatUint(after, 10), &response)
	return response.Events, err
}

// Order changes the engine's models or role, and returns the new state.
func (c *Client) Order(ctx context.Context, req OrderRequest) (EngineState, error) {
	var state EngineState
	err := c.post(ctx, "order", PathOrders, req, &state)
	return state, err
}

// State returns the engine's models and role.
func (c *Client) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	err := c.get(ctx, "state", PathState, &state)
	return state, err
}

// Decode starts or resumes a generation. The caller must close the stream.
func (c *Client) Decode(ctx context.Context, req DecodeRequest) (Stream, error) {
	const call = "decode"
	raw, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("decode: encode: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.openStream(ctx, raw)
	if err != nil {
		cancel()
		return nil, c.callError(call, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		var refusal ErrorResponse
		err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&refusal)
		return nil, errors.Join(c.refusalError(call, resp.StatusCode, refusal), err)
	}
	return newStream(ctx, cancel, c.address, req.Attempt, resp.Body), nil
}

func (c *Client) openStream(ctx context.Context, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+PathDecode, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return c.http.Do(req)
}

var _ Engine = (*Client)(nil)
