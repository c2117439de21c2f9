// Package mutation implements switches for mutation testing.
//
// Each switch disables a mechanism that a guarantee of the system depends on. The
// mutation run disables one mechanism at a time and checks that tests fail. In a build
// with the tag "mutants", the environment variable BALSAMLOCK_MUTANT names the disabled
// mechanism. In other builds Off always returns false, and the compiler removes the switch.
//
// # Usage
//
//	if !mutation.Off(mutation.ClaimReadBack) {
//		won, err = batcher.ReadBack(ctx, claim)
//	}
package mutation

// Name identifies a mechanism that can be disabled.
type Name string

// The mechanisms. There is at least one for each guarantee in the package invariant.
const (
	// MemorySweep frees engine memory whose owner is gone.
	MemorySweep Name = "memory_sweep"
	// DeliveryRecord allows only one delivery of a draft.
	DeliveryRecord Name = "delivery_record"
	// FrameCheck delivers a frame only if its attempt and index are the expected ones.
	FrameCheck Name = "frame_check"
	// SendPermit ensures that an attempt isn't both sent and refused. A refusal after the
	// send results in an unknown outcome.
	SendPermit Name = "send_permit"
	// ClaimReadBack checks in the log that a claim owns its key before the work is sent.
	ClaimReadBack Name = "claim_read_back"
	// LeavingWins keeps a server in the state leaving when another source reports that the
	// same incarnation is not leaving.
	LeavingWins Name = "leaving_wins"
	// DrainWait makes a shutdown wait for requests in progress.
	DrainWait Name = "drain_wait"
	// OffsetOrder ignores documents at an offset that isn't higher than the current one.
	OffsetOrder Name = "offset_order"
)
