// Command balsamlock-console serves the web forms in which operators edit and publish
// routing documents.
//
// # Usage
//
//	balsamlock-console --settings console.json
package main

import (
	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/program"
	"github.com/balsamlock/balsamlock/console"
)

func main() {
	cfg := console.DefaultConfig()
	program.Main("balsamlock-console", &cfg, func(g *run.Group) error {
		return console.Start(g, cfg)
	})
}
