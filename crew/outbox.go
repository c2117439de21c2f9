package crew

import (
	"time"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

// outbox holds what this instance adds to the next wave: loads that it polled or
// received from other data centres, and its direct exchanges with those data centres.
type outbox struct {
	loads    map[uint32]serverLoad
	contacts map[string]int64
}

func newOutbox() outbox {
	return outbox{
		loads:    map[uint32]serverLoad{},
		contacts: map[string]int64{},
	}
}

func (o *outbox) addLoad(l serverLoad) {
	previous, ok := o.loads[l.key]
	if !ok || l.load.At.After(previous.load.At) {
		o.loads[l.key] = l
	}
}

func (o *outbox) addContact(dataCentre string, at time.Time) {
	o.contacts[dataCentre] = max(o.contacts[dataCentre], at.UnixMilli())
}

func contactsFromProto(g *crewpb.Gossip) map[string]int64 {
	contacts := make(map[string]int64, len(g.GetContacts()))
	for _, c := range g.GetContacts() {
		contacts[c.GetDataCentre()] = int64(c.GetAtMs())
	}
	return contacts
}

func setContacts(g *crewpb.Gossip, contacts map[string]int64) {
	for dataCentre, at := range contacts {
		g.Contacts = append(g.Contacts, &crewpb.Contact{
			DataCentre: dataCentre,
			AtMs:       uint64(at),
		})
	}
}
