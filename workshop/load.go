package workshop

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// PathLoad is where a service reports its load.
const PathLoad = "/load"

// LoadReport is a service's own account of its load. It arrives with a lag.
type LoadReport struct {
	// At is when the service measured.
	At time.Time `json:"at"`
	// InFlight and Max count calls.
	InFlight int `json:"in_work"`
	Max      int `json:"max"`
	// Leaving is set once the service takes no new work.
	Leaving bool `json:"leaving"`
}

// Load asks the service for its load.
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
