// Command balsamlock-entry runs an entry instance. It serves the HTTP API for callers, the
// RPC API for other instances and the operators' endpoint, each at a separate address.
//
// # Usage
//
//	balsamlock-entry --settings entry.json
//	balsamlock-entry --settings entry.json --check-settings
package main

import (
	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/program"
	"github.com/balsamlock/balsamlock/entry"
)

func main() {
	cfg := entry.DefaultConfig()
	program.Main("balsamlock-entry", &cfg, func(g *run.Group) error {
		instance, err := entry.New(entry.Deps{
			Config:  cfg,
			Network: entry.NewTCP(cfg.PeerListen),
		})
		if err != nil {
			return err
		}
		g.Add(instance.Run, instance.Stop)
		return nil
	})
}
