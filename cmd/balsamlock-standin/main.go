// Command balsamlock-standin serves stand-ins for the platform, model engines and plain
// services. Faults can be injected into each of them over HTTP.
//
// # Usage
//
//	balsamlock-standin --settings standin.json
package main

import (
	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/program"
	"github.com/balsamlock/balsamlock/standin"
)

func main() {
	cfg := standin.DefaultConfig()
	program.Main("balsamlock-standin", &cfg, func(g *run.Group) error {
		return standin.Start(g, cfg)
	})
}
