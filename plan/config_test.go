package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/plan"
)

// settingsFile is a settings file that contains a plan.Config.
type settingsFile struct {
	Plan plan.Config `json:"plan"`
}

func (cfg *settingsFile) Check(p *settings.Problems) { cfg.Plan.Check(p.In("plan")) }

func TestConfigReportsInvalidFields(t *testing.T) {
	c := qt.New(t)
	cfg := settingsFile{Plan: plan.DefaultConfig()}
	c.Assert(settings.Decode("entry.json", []byte(`{}`), &cfg), qt.IsNil)
	err := settings.Decode("entry.json", []byte(`{"plan":{"snapshot_age_s":0,"log":{"poll_ms":-1}}}`), &cfg)
	c.Assert(err, qt.ErrorMatches, `(?s).*plan\.log\.poll_ms.*plan\.snapshot_age_s.*`)
}
