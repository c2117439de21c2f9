// Package standin implements test doubles of the systems that the router talks
// to: model engines, plain services and the platform with its log, instance list
// and weight store. They can be called directly, as tests in virtual time do, or
// over HTTP through their Handler methods. Each supports fault injection.
//
// # Usage
//
//	directory := standin.NewDirectory()
//	cfg := standin.DefaultEngineConfig()
//	cfg.Models = []string{"draft-7b@1"}
//	engine := standin.NewEngine(cfg, standin.EngineDeps{
//		Address: "10.0.1.1:80",
//		Peers:   directory,
//	})
//	directory.Add("10.0.1.1:80", engine)
//	engine.Faults().Set(standin.Rule{
//		Kind:  standin.FaultDropAnswer,
//		Call:  "reserve",
//		Count: 1,
//	})
//
// The stand-ins start no goroutines of their own and use timers instead, so that
// a synctest bubble can end when its callers have returned.
package standin
