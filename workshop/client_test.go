package workshop_test

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/standin"
	"github.com/balsamlock/balsamlock/workshop"
)

const serviceAddress = "10.0.1.1:80"

func TestProofKeyedCallIsSentOnce(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "at most once",
		Failures: "reused connection breaks after the effect of a keyed call",
	}, 20, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) { sendKeyedCalls(qt.New(t), seed) })
	})
}

// sendKeyedCalls sends calls with an idempotency key each, drops some of the answers,
// and checks that no call ran twice.
func sendKeyedCalls(c *qt.C, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	network := memnet.New()
	listener, err := network.Listen(serviceAddress)
	c.Assert(err, qt.IsNil)
	service := standin.NewService("desk", standin.DefaultServiceConfig())
	server := &http.Server{Handler: service.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	transport := &http.Transport{DialContext: network.Dialer("10.0.0.1")}
	defer transport.CloseIdleConnections()
	client := workshop.NewClient(workshop.ClientDeps{
		Address: serviceAddress,
		HTTP:    &http.Client{Transport: transport},
	})
	methods := []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet}
	for i := range 20 {
		dropAnswer := random.IntN(3) == 0
		service.Faults().Set()
		if dropAnswer {
			service.Faults().Set(standin.Rule{
				Kind:  standin.FaultDropAnswer,
				Count: 1,
			})
		}
		_, err := client.Call(c.Context(), workshop.Request{
			Method: methods[random.IntN(len(methods))],
			Path:   "/orders",
			Body:   make([]byte, random.IntN(3)),
			Key:    "k" + strconv.Itoa(i),
		})
		c.Assert(err != nil, qt.Equals, dropAnswer)
	}
	for key, runs := range service.Runs() {
		c.Assert(runs, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}
