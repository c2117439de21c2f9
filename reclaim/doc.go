// Package reclaim implements lease renewal and garbage collection of engine memory, so that
// no memory stays held for a request whose caller or owner is gone.
//
// It has three mechanisms. The KeepAlive of an instance renews what the instance holds. Its
// Canceller retries cancels that failed. The Sweepers of a data centre read the holdings of
// its engines and cancel those of instances that are gone and those of attempts that their
// owners don't know. Each engine has a first sweeper, and further ones that sweep less
// often, in case the instances' views of the membership differ. Cancels are idempotent, so
// several sweepers may sweep an engine concurrently.
//
// With the default settings, memory is free again FreeWithin after its caller or owner is
// gone, provided that one of the first three sweepers of the engine can reach it.
//
// # Usage
//
//	tracker := reclaim.NewTracker()
//	tracker.Hold(attempt, engineAddress)      // before the first call
//	defer tracker.Forget(attempt, engineAddress)
//
//	canceller := reclaim.NewCanceller(cfg, reclaim.CancellerDeps{...})
//	canceller.Cancel(engineAddress, attempt, owner)
//
//	go canceller.Run(ctx)
//	go reclaim.NewKeepAlive(cfg, deps).Run(ctx)
//	go reclaim.NewSweeper(cfg, deps).Run(ctx)
package reclaim
