package operator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/peerkey"
)

// maxAnswerBytes bounds an answer of an instance.
const maxAnswerBytes = 1 << 20

// Client asks instances.
type Client struct{ rest *resty.Client }

// NewClient returns a client that carries the operator's key.
func NewClient(key string, client *http.Client) *Client {
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	rest := resty.NewWithClient(&http.Client{Transport: peerkey.TransportIn(Header, key, base)})
	rest.SetResponseBodyLimit(maxAnswerBytes)
	rest.SetLogger(quiet{})
	return &Client{rest: rest}
}

// quiet drops resty's own log lines; errors are returned.
type quiet struct{}

func (quiet) Errorf(string, ...any) {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Debugf(string, ...any) {}

// Status asks the instance at IP:port for its status.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return c.do(ctx, "status", http.MethodGet, address, PathStatus)
}

// Drain tells the instance at IP:port to shut down gracefully.
func (c *Client) Drain(ctx context.Context, address string) (Status, error) {
	return c.do(ctx, "drain", http.MethodPost, address, PathDrain)
}

func (c *Client) do(ctx context.Context, step, method, address, path string) (Status, error) {
	var status Status
	resp, err := c.rest.R().SetContext(ctx).SetResult(&status).Execute(method, "http://"+address+path)
	if err != nil {
		return Status{}, fmt.Errorf("%s: instance %s: %w", step, address, err)
	}
	if !resp.IsSuccess() {
		return Status{}, fmt.Errorf("%s: instance %s: status %d", step, address, resp.StatusCode())
	}
	return status, nil
}

// InstanceStatus is what one instance answered.
type InstanceStatus struct {
	Address string `json:"address"`
	// Status is nil when the instance did not answer.
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// StatusOfAll asks instances at once, each for at most the timeout, and returns
// their answers in the order of the addresses.
func (c *Client) StatusOfAll(ctx context.Context, addresses []string, timeout time.Duration) []InstanceStatus {
	answers := make([]InstanceStatus, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			answers[i] = answerOf(address)(c.Status(ctx, address))
		})
	}
	wg.Wait()
	return answers
}

func answerOf(address string) func(Status, error) InstanceStatus {
	return func(status Status, err error) InstanceStatus {
		if err != nil {
			return InstanceStatus{
				Address: address,
				Error:   err.Error(),
			}
		}
		return InstanceStatus{
			Address: address,
			Status:  &status,
		}
	}
}
