package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/draft"
	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// drafts is the desk as the callers' API sees it.
type drafts struct{ *draft.Manager }

// State tells how far a caller's draft is.
func (d drafts) State(caller, id string) (counter.DraftState, bool) {
	state, ok := d.Manager.State(caller, id)
	return counter.DraftState(state), ok
}

// draftRunner runs the work of drafts.
type draftRunner struct{ generator counter.Generator }

// Run generates a draft's whole text.
func (r draftRunner) Run(ctx context.Context, req firing.Request) (receipt.Outcome, string) {
	sink := &textSink{}
	result := r.generator.Run(ctx, req, sink)
	return result.Outcome, sink.text.String()
}

type textSink struct{ text strings.Builder }

// Token keeps one token.
func (s *textSink) Token(frame kiln.Frame) error {
	s.text.WriteString(frame.Text)
	return nil
}

// draftPeers are the live instances that can hold a draft.
type draftPeers struct{ instance *Instance }

// List returns the live peers.
func (p draftPeers) List() []draft.Peer {
	view := p.instance.members.View()
	var peers []draft.Peer
	for _, dataCentre := range view.DataCentres() {
		for _, id := range view.Live(dataCentre) {
			member, ok := view.Instance(id)
			if !ok || id == p.instance.id {
				continue
			}
			peers = append(peers, draft.Peer{
				Instance:   id,
				DataCentre: dataCentre,
				Holder:     newHolder(member.Address, p.instance.peers),
			})
		}
	}
	return peers
}

func newHolder(address string, client *http.Client) draftpb.Holder {
	return draftpb.NewHolderProtobufClient("http://"+address, client)
}

var (
	_ counter.Drafts = drafts{}
	_ draft.Runner   = draftRunner{}
	_ draft.Peers    = draftPeers{}
	_ firing.Sink    = (*textSink)(nil)
)
