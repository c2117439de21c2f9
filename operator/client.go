package operator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/peerkey"
	"github.com/balsamlock/balsamlock/common/transport"
)

// maxResponseBytes is the maximum size of a response of an instance.
const maxResponseBytes = 1 << 20

// Client calls the operators' endpoints of instances.
type Client struct{ rest *resty.Client }

// NewClient returns a Client that sends the operator key with each request.
func NewClient(key string, client *http.Client) *Client {
	base := client.Transport
	if base == nil {
		base = transport.NewClient().Transport
	}
	rest := resty.NewWithClient(&http.Client{Transport: peerkey.TransportIn(Header, key, base)})
	rest.SetResponseBodyLimit(maxResponseBytes)
	rest.SetLogger(discardLogger{})
	return &Client{rest: rest}
}

// discardLogger discards the log lines of resty, because all errors are returned.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// Status returns the status of the instance at address, an IP:port.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return c.do(ctx, "status", http.MethodGet, address, PathStatus)
}

// Drain tells the instance at address, an IP:port, to shut down gracefully.
// It returns as soon as the shutdown has started.
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

// InstanceStatus holds the status of one instance, or the error of the call.
type InstanceStatus struct {
	Address string `json:"address"`
	// Status is nil if the call failed.
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// StatusOfAll calls all instances concurrently and returns their statuses in the
// order of the addresses. The timeout applies to each call.
func (c *Client) StatusOfAll(ctx context.Context, addresses []string, timeout time.Duration) []InstanceStatus {
	statuses := make([]InstanceStatus, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			statuses[i] = newInstanceStatus(address)(c.Status(ctx, address))
		})
	}
	wg.Wait()
	return statuses
}

// newInstanceStatus returns a function that combines the results of Status.
func newInstanceStatus(address string) func(Status, error) InstanceStatus {
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
