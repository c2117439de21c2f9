package entry

import (
	"net/http"
	"sync"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/reclaim"
)

// engineClients holds one client for each engine address.
type engineClients struct {
	http    *http.Client
	tracker *reclaim.Tracker
	// onLeaving is called with the address of an engine that refuses work because it
	// is leaving.
	onLeaving func(address string)
	clients   sync.Map // address to *trackedEngine
}

func newEngineClients(client *http.Client, tracker *reclaim.Tracker, onLeaving func(address string)) *engineClients {
	return &engineClients{
		http:      client,
		tracker:   tracker,
		onLeaving: onLeaving,
	}
}

// Engine returns the client of the engine at an address.
func (e *engineClients) Engine(address string) kiln.Engine {
	if client, ok := e.clients.Load(address); ok {
		return client.(*trackedEngine)
	}
	client, _ := e.clients.LoadOrStore(address, &trackedEngine{
		Engine: kiln.NewClient(kiln.ClientDeps{
			Address: address,
			HTTP:    e.http,
		}),
		address:   address,
		tracker:   e.tracker,
		onLeaving: e.onLeaving,
	})
	return client.(*trackedEngine)
}

// localEngines limits engineClients to the engines of one data centre.
type localEngines struct {
	*engineClients
	members    *crew.Membership
	dataCentre string
}

// Addresses returns the addresses of the engines in the data centre.
func (e *localEngines) Addresses() []string {
	var addresses []string
	for _, server := range e.members.View().Servers() {
		if server.Service == "" && server.DataCentre == e.dataCentre {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

var (
	_ firing.Engines  = (*engineClients)(nil)
	_ reclaim.Engines = (*localEngines)(nil)
)
