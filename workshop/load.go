package workshop

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// PathLoad is the path of a service's load report.
const PathLoad = "/load"

// LoadReport is the load of a service as reported by itself. It may be out of date
// when it arrives.
type LoadReport struct {
	// At is the time of the measurement.
	At time.Time `json:"at"`
	// InFlight is the number of calls in flight, Max their maximum.
	InFlight int `json:"in_work"`
	Max      int `json:"max"`
	// Leaving is set once the service accepts no new calls.
	Leaving bool `json:"leaving"`
}

// Load fetches the load report of the service.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	resp, err := c.rest.R().SetContext(ctx).SetResult(&report).Get("http://" + c.address + PathLoad)
	if err != nil {
		return LoadReport{}, fmt.Errorf("load: peer %s: %w", c.address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return LoadReport{}, fmt.Errorf("load: peer %s: status %d", c.address, resp.StatusCode())
	}
	return report, nil
}
