package entry

import (
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// stewardClient returns the client that exchanges the usage of engines with the other
// instances of the region.
func (i *Instance) stewardClient() *steward.Client {
	return steward.NewClient(steward.Deps{
		Instance: i.id,
		Usage:    i.placer,
		Members:  &regionMembers{members: i.members},
		Hub:      i.hub,
		Dial: func(address string) stewardpb.Steward {
			return stewardpb.NewStewardProtobufClient("http://"+address, i.peers)
		},
		OnExchange: i.queue.Wake,
		Config:     i.cfg.Steward,
	})
}

// regionMembers lists the instances and engines of the instance's own region.
type regionMembers struct{ members *crew.Membership }

// Peers returns the live entry instances of the region.
func (r *regionMembers) Peers() []steward.Peer {
	view := r.members.View()
	region := view.Self().Region
	var peers []steward.Peer
	for _, dataCentre := range view.DataCentres() {
		for _, instance := range view.Instances(dataCentre) {
			if instance.Region == region && instance.State == crew.StateLive {
				peers = append(peers, steward.Peer{
					ID:      instance.ID,
					Address: instance.Address,
				})
			}
		}
	}
	return peers
}

// Engines returns the addresses of the engines of the region.
func (r *regionMembers) Engines() []string {
	view := r.members.View()
	region := view.Self().Region
	var addresses []string
	for _, server := range view.Servers() {
		if server.Region == region && server.Role != "" {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

var _ steward.Members = (*regionMembers)(nil)
