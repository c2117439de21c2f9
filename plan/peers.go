package plan

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/plan/planpb"
)

// advert is a version that a peer has told.
type advert struct {
	address string
	version Version
}

// Advertised notes the version that a peer has in force, as its heartbeat
// tells. It never waits.
func (f *Follower) Advertised(address string, version Version) {
	if version <= f.Version() {
		return
	}
	next := advert{
		address: address,
		version: version,
	}
	select {
	case f.adverts <- next:
	default:
		// One is under way; heartbeats repeat.
	}
}

// askPeers follows up adverts: the log is read at once, and the peer is asked
// when the log doesn't bring the version.
func (f *Follower) askPeers(ctx context.Context) error {
	for {
		select {
		case next := <-f.adverts:
			f.followUp(ctx, next)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Follower) followUp(ctx context.Context, next advert) {
	if f.deps.Peers == nil || next.version <= f.Version() {
		return
	}
	f.reader.Poke()
	wait := milliseconds(f.deps.Config.PeerWaitMS)
	if f.waitFor(ctx, next.version, wait/2+spread(wait)) {
		return
	}
	if err := f.ask(ctx, next.address); err != nil {
		log.Warn().Str("step", "ask_peer").Str("peer", next.address).Err(err).Msg("no document from peer")
	}
}

func (f *Follower) waitFor(ctx context.Context, version Version, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return f.Wait(ctx, version) == nil
}

func (f *Follower) ask(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(f.deps.Config.PeerTimeoutMS))
	defer cancel()
	claim, ok, err := f.deps.Peers.Newest(ctx, address, f.Version())
	if err != nil || !ok {
		return err
	}
	verdict := f.update(func(s State) (State, Verdict) { return Adopt(s, claim) })
	if passed, ok := verdict.(PassedOver); ok {
		return fmt.Errorf("claim of peer %s, version %d: %s", address, claim.Newest().Version, passed.Reason)
	}
	return nil
}

// service answers peers.
type service struct{ follower *Follower }

// NewService returns the handler of the peers' service, to be mounted at its
// PathPrefix behind a check of the peer key.
func NewService(follower *Follower) planpb.TwirpServer {
	return planpb.NewPlanServer(&service{follower: follower})
}

var _ planpb.Plan = (*service)(nil)

// Newest returns the newest accepted document with its history.
func (s *service) Newest(_ context.Context, r *planpb.NewestRequest) (*planpb.NewestResponse, error) {
	claim := s.follower.State().Snapshot()
	if claim.Newest().Version <= Version(r.GetHaveVersion()) {
		return &planpb.NewestResponse{}, nil
	}
	body, err := claim.toProto()
	if err != nil {
		return nil, fmt.Errorf("encode newest document: %w", err)
	}
	return &planpb.NewestResponse{Snapshot: body}, nil
}

// PeerClient asks peers over HTTP.
type PeerClient struct{ client *http.Client }

var _ Peers = (*PeerClient)(nil)

// NewPeerClient returns a client. The HTTP client adds the peer key.
func NewPeerClient(client *http.Client) *PeerClient {
	return &PeerClient{client: client}
}

// Newest asks the peer at IP:port.
func (p *PeerClient) Newest(ctx context.Context, address string, have Version) (Snapshot, bool, error) {
	client := planpb.NewPlanProtobufClient("http://"+address, p.client)
	answer, err := client.Newest(ctx, &planpb.NewestRequest{HaveVersion: int64(have)})
	if err != nil {
		return Snapshot{}, false, fmt.Errorf("ask peer %s for the newest document: %w", address, err)
	}
	if answer.GetSnapshot() == nil {
		return Snapshot{}, false, nil
	}
	claim, err := claimOf(answer.GetSnapshot())
	if err != nil {
		return Snapshot{}, false, fmt.Errorf("newest document of peer %s: %w", address, err)
	}
	return claim, true, nil
}
