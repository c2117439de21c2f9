package workshop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/transport"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// HeaderAttempt carries the id of the try.
const HeaderAttempt = "X-Attempt"

// ClientDeps holds the dependencies of a Client.
type ClientDeps struct {
	// Address is the service's IP:port.
	Address string
	// HTTP is the HTTP client to use, usually shared by all services. If nil, a new
	// one is created.
	HTTP *http.Client
}

// Client calls a plain service over HTTP. It sets no timeouts of its own: calls are
// bounded by their contexts only.
type Client struct {
	address string
	rest    *resty.Client
}

// NewClient returns a client for the service at deps.Address.
func NewClient(deps ClientDeps) *Client {
	if deps.HTTP == nil {
		deps.HTTP = transport.NewClient()
	}
	noRedirects := *deps.HTTP
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	rest := resty.NewWithClient(&noRedirects)
	rest.SetResponseBodyLimit(maxAnswerBytes)
	rest.SetLogger(discardLogger{})
	rest.SetPreRequestHook(preventReplay)
	return &Client{
		address: deps.Address,
		rest:    rest,
	}
}

// discardLogger discards the log output of resty. Errors are returned to the caller.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// preventReplay prevents net/http from sending a call with an idempotency key twice.
// If a reused connection breaks, net/http replays requests that have an
// Idempotency-Key header in canonical form or a safe method such as GET, unless they
// have a body that can't be rewound.
func preventReplay(_ *resty.Client, req *http.Request) error {
	key := req.Header.Values(HeaderIdempotencyKey)
	if len(key) == 0 {
		return nil
	}
	req.Header.Del(HeaderIdempotencyKey)
	req.Header[strings.ToLower(HeaderIdempotencyKey)] = key
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
	return nil
}

// Call sends one request and waits for the complete answer.
func (c *Client) Call(ctx context.Context, req Request) (Answer, error) {
	resp, err := c.request(ctx, req).Execute(req.Method, c.url(req))
	if transport.NotSent(err) {
		return Answer{}, &NotStartedError{
			Peer: c.address,
			Err:  err,
		}
	}
	if err != nil {
		return Answer{}, fmt.Errorf("call: peer %s: %w", c.address, err)
	}
	if resp.Header().Get(HeaderNotStarted) != "" {
		return Answer{}, &NotStartedError{
			Peer: c.address,
			Err:  fmt.Errorf("status %d", resp.StatusCode()),
		}
	}
	if err := checkBodyLength(resp); err != nil {
		return Answer{}, fmt.Errorf("call: peer %s: %w", c.address, err)
	}
	return Answer{
		Status: resp.StatusCode(),
		Header: resp.Header(),
		Body:   resp.Body(),
	}, nil
}

func (c *Client) url(req Request) string {
	url := "http://" + c.address + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	return url
}

func (c *Client) request(ctx context.Context, req Request) *resty.Request {
	out := c.rest.R().SetContext(ctx)
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Del(HeaderIdempotencyKey)
	if req.Key != "" {
		out.SetHeader(HeaderIdempotencyKey, req.Key)
	}
	out.SetHeader(HeaderAttempt, req.Attempt)
	if len(req.Body) > 0 {
		out.SetBody(req.Body)
	}
	return out
}

// checkBodyLength returns an error if the length of the body differs from its
// Content-Length.
func checkBodyLength(resp *resty.Response) error {
	contentLength := resp.RawResponse.ContentLength
	if contentLength >= 0 && resp.Request.Method != http.MethodHead && contentLength != int64(len(resp.Body())) {
		return errors.Join(io.ErrUnexpectedEOF, fmt.Errorf("got %d of %d body bytes", len(resp.Body()), contentLength))
	}
	return nil
}

var _ Service = (*Client)(nil)
