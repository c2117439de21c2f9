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

// callerDrafts adapts the draft package to the callers' API.
type callerDrafts struct{ *draft.Manager }

// State returns the state of a caller's draft. The second result reports whether
// the caller has a draft with that id.
func (d callerDrafts) State(caller, id string) (counter.DraftState, bool) {
	state, ok := d.Manager.State(caller, id)
	return counter.DraftState(state), ok
}

// draftRunner runs the generations of drafts.
type draftRunner struct{ generator counter.Generator }

// Run runs a generation and returns its outcome and the generated text.
func (r draftRunner) Run(ctx context.Context, req firing.Request) (receipt.Outcome, string) {
	sink := &textSink{}
	result := r.generator.Run(ctx, req, sink)
	return result.Outcome, sink.text.String()
}

// textSink is a firing.Sink that collects the text of a generation.
type textSink struct{ text strings.Builder }

// Token appends the text of one frame.
func (s *textSink) Token(frame kiln.Frame) error {
	s.text.WriteString(frame.Text)
	return nil
}

// draftPeers lists the instances that can hold a copy of a draft.
type draftPeers struct{ instance *Instance }

// List returns the other live instances.
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
	_ counter.Drafts = callerDrafts{}
	_ draft.Runner   = draftRunner{}
	_ draft.Peers    = draftPeers{}
	_ firing.Sink    = (*textSink)(nil)
)
