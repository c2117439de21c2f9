// Command balsamlock-ctl checks, compares, publishes and shows routing documents, prints
// the status of instances, drains an instance and explains a request from its log lines.
//
// # Usage
//
//	balsamlock-ctl --platform 10.0.0.1:7000 show --edit > routing.json
//	balsamlock-ctl check routing.json
//	balsamlock-ctl --platform 10.0.0.1:7000 publish routing.json
package main

import (
	"os"

	"github.com/balsamlock/balsamlock/ctl"
)

func main() {
	os.Exit(ctl.Run(ctl.Deps{
		Args:   os.Args[1:],
		Getenv: os.Getenv,
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}))
}
