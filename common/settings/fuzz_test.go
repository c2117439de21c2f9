package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/balsamlock/balsamlock/common/settings"
)

// FuzzDecode checks that each error of Decode names the file and what is allowed, and
// never contains a secret.
func FuzzDecode(f *testing.F) {
	for line := range strings.Lines(decodeTests) {
		raw, _, _ := strings.Cut(line, "|")
		f.Add(strings.TrimSpace(raw))
	}
	f.Fuzz(func(t *testing.T, raw string) {
		cfg := config{Inner: inner{Tries: 1}}
		err := settings.Decode("x.json", []byte(raw), &cfg)
		if err == nil {
			return
		}
		if !strings.Contains(err.Error(), "x.json") {
			t.Fatalf("error %q does not name the file", err)
		}
		if problem := (settings.Problem{}); errors.As(err, &problem) && problem.Allowed == "" {
			t.Fatalf("error %q does not name what is allowed", err)
		}
		if len(cfg.Key) > 8 && strings.Contains(err.Error(), cfg.Key) {
			t.Fatalf("error %q contains the secret key", err)
		}
	})
}
