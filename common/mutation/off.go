//go:build !mutants

package mutation

// Off reports whether the mechanism is disabled. It is always false in this build.
func Off(Name) bool { return false }
