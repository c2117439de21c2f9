// Command balsamlock-gateway runs an entry instance on the users' platform.
//
// # Usage
//
//	balsamlock-gateway --settings gateway.json
//	balsamlock-gateway --settings gateway.json --check-settings
package main

import (
	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/program"
	"github.com/balsamlock/balsamlock/platform"
)

func main() {
	cfg := platform.DefaultConfig()
	program.MainWithFile("balsamlock-gateway", &cfg, func(g *run.Group, file string) error {
		instance := platform.New(platform.Deps{
			Config: cfg,
			File:   file,
		})
		g.Add(instance.Run, instance.Stop)
		return nil
	})
}
