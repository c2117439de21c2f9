// Command balsamlock-replay generates traces of callers' requests, replays them in virtual
// time against stand-ins or in real time against an entry instance, and compares policies
// on the same traces.
//
// # Usage
//
//	balsamlock-replay make --profile glasnet --seed 1 --load 0.9 > trace.jsonl
//	balsamlock-replay compare --load 0.9 --load 1.5 --seeds 10
package main

import (
	"os"

	"github.com/balsamlock/balsamlock/replay/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
