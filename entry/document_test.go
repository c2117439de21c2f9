package entry_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/balsamlock/balsamlock/entry"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/standin"
)

// expectedText returns the complete answer that every engine gives to a prompt.
func expectedText(prompt string, maxTokens int) string {
	return strings.Join(standin.Answer(model, prompt, maxTokens), "")
}

func callerKey(caller string) string { return "key-of-" + caller }

func baseDocument() plan.Document {
	caller := func(name string) plan.Caller {
		sum := sha256.Sum256([]byte(callerKey(name)))
		return plan.Caller{
			Name:      name,
			KeySHA256: []string{hex.EncodeToString(sum[:])},
			Priority:  5,
			Weight:    100,
			Models:    []string{"*"},
			Services:  []string{"*"},
		}
	}
	return plan.Document{
		FormatVersion: plan.FormatVersion,
		Regions: []plan.Region{
			{
				Name:        "randstad",
				DataCentres: []string{"randstad-a", "randstad-b"},
			},
			{
				Name:        "oost",
				DataCentres: []string{"oost-a"},
			},
		},
		Models: []plan.Model{{
			Name:            model,
			Version:         "1",
			FirstTokenMS:    460,
			PerTokenMS:      27,
			MaxPromptTokens: 32000,
			MaxOutputTokens: maxOutputTokens,
			KVBytesPerToken: 131072,
		}},
		Services: []plan.Service{{
			Name: "workshop-desk",
			Calls: []plan.Call{
				{
					Name:       "lookup",
					Method:     http.MethodGet,
					PathPrefix: "/panels",
					Repeatable: true,
					DeadlineMS: 2000,
				},
				{
					Name:       "order",
					Method:     http.MethodPost,
					PathPrefix: "/orders",
					DeadlineMS: 5000,
				},
			},
		}},
		Callers: []plan.Caller{caller("vecht"), caller("dommel")},
	}
}

func entryConfig(ip, dataCentre string) entry.Config {
	cfg := entry.DefaultConfig()
	cfg.Listen = ip + ":8080"
	cfg.PeerListen = ip + ":8081"
	cfg.OperatorListen = ip + ":8082"
	cfg.DataCentre = dataCentre
	cfg.Region = "randstad"
	if dataCentre == "oost-a" {
		cfg.Region = "oost"
	}
	cfg.Platform = "10.0.0.1:7000"
	cfg.PeerKey = "peer-key-0123456789"
	cfg.OperatorKey = "operator-key-0123456789"
	cfg.Crew.Peers = []string{"10.0.1.9:8081", "10.0.2.9:8081"}
	return cfg
}
