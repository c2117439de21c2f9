// Package foreman implements the controller that reconciles model engines with the
// routing document: their models, adapters, versions and roles.
//
// Before an engine gets an order, the issuer appends a claim to the platform's log. The
// offset of the claim is the order's fencing token. All instances replay the same records
// into a ClaimTable and measure time by the timestamps of the log, so they agree on which
// claims are granted without communicating. An engine that checks fencing tokens refuses
// an order with a token lower than one it has seen. For an engine that doesn't, a claim
// excludes all other issuers until the order can no longer take effect, or until the
// issuer has read the result back and closed the claim. Claims for loads also share a
// token bucket, which limits the rate of loads from the weight store.
//
// # Usage
//
//	claims := foreman.NewClaimTable(cfg)
//	follower := ledger.NewFollower(ledger.FollowerDeps{
//		Log:     client,
//		Stream:  ledger.StreamControl,
//		Handler: claims,
//		Config:  ledger.DefaultFollowerConfig(),
//	})
//	controller := foreman.NewController(cfg, foreman.Deps{...})
//	go follower.Run(ctx)
//	go controller.Run(ctx)
//
// Placement calls claims.Draining(server) and sends no new work to an engine whose role
// is about to change.
package foreman
