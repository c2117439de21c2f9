package plan

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/plan/planpb"
)

// advertisement is a version that a peer has advertised.
type advertisement struct {
	address string
	version Version
}

// Advertised handles the active version that a peer reports in its heartbeat.
// It does not block.
func (f *Follower) Advertised(address string, version Version) {
	if version <= f.Version() {
		return
	}
	next := advertisement{
		address: address,
		version: version,
	}
	select {
	case f.advertisements <- next:
	default:
		// Another advertisement is pending. Heartbeats repeat, so this
		// one can be dropped.
	}
}

// handleAdvertisements fetches the versions that peers advertise until the
// context is done.
func (f *Follower) handleAdvertisements(ctx context.Context) error {
	for {
		select {
		case next := <-f.advertisements:
			f.fetchAdvertised(ctx, next)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchAdvertised reads the log immediately and asks the peer if the log does
// not deliver the version in time.
func (f *Follower) fetchAdvertised(ctx context.Context, next advertisement) {
	if f.deps.Peers == nil || next.version <= f.Version() {
		return
	}
	f.reader.PollNow()
	wait := milliseconds(f.deps.Config.PeerWaitMS)
	if f.waitFor(ctx, next.version, wait/2+jitter(wait)) {
		return
	}
	if err := f.fetchFromPeer(ctx, next.address); err != nil {
		log.Warn().Str("step", "ask_peer").Str("peer", next.address).Err(err).Msg("failed to get document from peer")
	}
}

func (f *Follower) waitFor(ctx context.Context, version Version, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return f.Wait(ctx, version) == nil
}

func (f *Follower) fetchFromPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(f.deps.Config.PeerTimeoutMS))
	defer cancel()
	snapshot, ok, err := f.deps.Peers.Newest(ctx, address, f.Version())
	if err != nil || !ok {
		return err
	}
	result := f.update(func(s State) (State, ApplyResult) { return ApplySnapshot(s, snapshot) })
	if skipped, ok := result.(Skipped); ok {
		return fmt.Errorf("snapshot of peer %s, version %d: %s", address, snapshot.Newest().Version, skipped.Reason)
	}
	return nil
}

// peerService serves the newest document to peers.
type peerService struct{ follower *Follower }

// NewService returns the HTTP handler of the peer service. Mount it at its
// PathPrefix behind authentication by the peer key.
func NewService(follower *Follower) planpb.TwirpServer {
	return planpb.NewPlanServer(&peerService{follower: follower})
}

var _ planpb.Plan = (*peerService)(nil)

// Newest returns the newest accepted document with its history, or an empty
// response if the peer already has it.
func (s *peerService) Newest(_ context.Context, r *planpb.NewestRequest) (*planpb.NewestResponse, error) {
	snapshot := s.follower.State().Snapshot()
	if snapshot.Newest().Version <= Version(r.GetHaveVersion()) {
		return &planpb.NewestResponse{}, nil
	}
	body, err := snapshot.toProto()
	if err != nil {
		return nil, fmt.Errorf("encode newest document: %w", err)
	}
	return &planpb.NewestResponse{Snapshot: body}, nil
}

// PeerClient requests documents from peers over HTTP.
type PeerClient struct{ client *http.Client }

var _ Peers = (*PeerClient)(nil)

// NewPeerClient returns a client. The HTTP client must add the peer key to
// requests.
func NewPeerClient(client *http.Client) *PeerClient {
	return &PeerClient{client: client}
}

// Newest implements Peers. The address has the form IP:port.
func (p *PeerClient) Newest(ctx context.Context, address string, have Version) (Snapshot, bool, error) {
	client := planpb.NewPlanProtobufClient("http://"+address, p.client)
	reply, err := client.Newest(ctx, &planpb.NewestRequest{HaveVersion: int64(have)})
	if err != nil {
		return Snapshot{}, false, fmt.Errorf("request newest document from peer %s: %w", address, err)
	}
	if reply.GetSnapshot() == nil {
		return Snapshot{}, false, nil
	}
	snapshot, err := decodeSnapshot(reply.GetSnapshot())
	if err != nil {
		return Snapshot{}, false, fmt.Errorf("newest document of peer %s: %w", address, err)
	}
	return snapshot, true, nil
}
