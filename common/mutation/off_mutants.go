//go:build mutants

package mutation

import "os"

// EnvMutant is the environment variable that names the disabled mechanism.
const EnvMutant = "BALSAMLOCK_MUTANT"

var disabled = Name(os.Getenv(EnvMutant))

// Off reports whether the mechanism is disabled.
func Off(name Name) bool { return name == disabled }
