package allotment

import (
	"context"
	"errors"
	"math"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/balsamlock/balsamlock/allotment/allotmentpb"
)

// Server serves the roles that this instance holds.
type Server struct {
	// Issuer and Distributor return the holder of a role, or nil if this instance doesn't
	// hold it.
	Issuer      func() Parent
	Distributor func() Parent
	// Yield ends the role of the issuer, because it has a successor, and returns the levels of its
	// buckets by team.
	Yield func() map[string]float64
	// Now returns the time by a clock that also counts the time of suspensions.
	Now func() time.Time
}

// Ask grants amounts to a child.
func (s Server) Ask(ctx context.Context, request *allotmentpb.AskRequest) (*allotmentpb.AskReply, error) {
	role, name := s.Distributor(), "distributor"
	if request.Distributor {
		role, name = s.Issuer(), "issuer"
	}
	if role == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance is not the "+name)
	}
	reply, err := role.Ask(ctx, decodeRequest(request))
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the "+name+" has no answer"), err)
	}
	return encodeReply(reply, s.Now()), nil
}

// Stop ends the role of the issuer on this instance.
func (s Server) Stop(context.Context, *allotmentpb.StopRequest) (*allotmentpb.StopReply, error) {
	reply := &allotmentpb.StopReply{}
	for team, level := range s.Yield() {
		reply.Levels = append(reply.Levels, &allotmentpb.Level{
			Team:  team,
			Level: level,
		})
	}
	return reply, nil
}

// Stop asks the issuer before to stop, and returns the levels of its buckets. It returns
// false unless that one creates nothing any more: it has answered, or its process has ended.
func Stop(ctx context.Context, before allotmentpb.Allotment) (levels map[string]float64, stopped bool) {
	reply, err := before.Stop(ctx, &allotmentpb.StopRequest{})
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	levels = map[string]float64{}
	for _, l := range reply.Levels {
		if !math.IsNaN(l.Level) {
			levels[l.Team] = l.Level
		}
	}
	return levels, true
}

// Remote is a parent that another instance serves.
type Remote struct {
	Client allotmentpb.Allotment
	// Now returns the time by a clock that also counts the time of suspensions.
	Now func() time.Time
}

// Ask asks the other instance. The ages of the amounts in its reply are counted from the
// sending of the request.
func (p Remote) Ask(ctx context.Context, r Request) (Reply, error) {
	sentAt := p.Now()
	reply, err := p.Client.Ask(ctx, encodeRequest(r))
	if err != nil {
		return Reply{}, err
	}
	return decodeReply(reply, sentAt), nil
}

func encodeRequest(r Request) *allotmentpb.AskRequest {
	request := &allotmentpb.AskRequest{
		Child:       r.Child,
		Distributor: r.Distributor,
		Members:     int32(r.Members),
		Part:        r.Part,
		Absent:      r.Absent,
		AnswerAgeMs: r.AnswerAge.Milliseconds(),
		Creates:     r.Creates,
		Leaves:      r.Leaves,
	}
	for _, need := range r.Needs {
		request.Needs = append(request.Needs, &allotmentpb.Need{
			Team:     need.Team,
			Waiting:  need.Waiting,
			Prefetch: need.Prefetch,
			Rate:     need.Limit.Rate,
			Burst:    need.Limit.Burst,
		})
	}
	return request
}

func decodeRequest(request *allotmentpb.AskRequest) Request {
	r := Request{
		Child:       request.Child,
		Distributor: request.Distributor,
		Members:     int(request.Members),
		Part:        fraction(request.Part),
		Absent:      fraction(request.Absent),
		AnswerAge:   milliseconds(request.AnswerAgeMs),
		Creates:     request.Creates,
		Leaves:      request.Leaves,
	}
	for _, need := range request.Needs {
		n := Need{
			Team: need.Team,
			Limit: Limit{
				Rate:  amount(need.Rate),
				Burst: amount(need.Burst),
			},
			Prefetch: amount(need.Prefetch),
		}
		for _, cost := range need.Waiting {
			n.Waiting = append(n.Waiting, amount(cost))
		}
		r.Needs = append(r.Needs, n)
	}
	return r
}

func encodeReply(reply Reply, now time.Time) *allotmentpb.AskReply {
	message := &allotmentpb.AskReply{
		All:  int32(reply.All),
		Part: reply.Part,
	}
	for _, grant := range reply.Grants {
		g := &allotmentpb.Grant{
			Team:    grant.Team,
			RetryMs: grant.Retry.Milliseconds(),
		}
		for _, lot := range grant.Lots {
			g.Lots = append(g.Lots, &allotmentpb.Lot{
				Amount: lot.Amount,
				// Rounded up, so that no amount lives longer.
				AgeMs: 1 + (GrantLife - lot.Until.Sub(now)).Milliseconds(),
			})
		}
		message.Grants = append(message.Grants, g)
	}
	for _, sibling := range reply.Siblings {
		message.Siblings = append(message.Siblings, &allotmentpb.Sibling{
			Name:    sibling.Name,
			Members: int32(sibling.Members),
			Part:    sibling.Part,
		})
	}
	return message
}

func decodeReply(message *allotmentpb.AskReply, sentAt time.Time) Reply {
	reply := Reply{
		All:  int(message.All),
		Part: fraction(message.Part),
	}
	for _, grant := range message.Grants {
		g := Grant{
			Team:  grant.Team,
			Retry: milliseconds(grant.RetryMs),
		}
		for _, lot := range grant.Lots {
			g.Lots = append(g.Lots, Lot{
				Amount: amount(lot.Amount),
				Until:  sentAt.Add(GrantLife - milliseconds(lot.AgeMs)),
			})
		}
		reply.Grants = append(reply.Grants, g)
	}
	for _, sibling := range message.Siblings {
		reply.Siblings = append(reply.Siblings, Sibling{
			Name:    sibling.Name,
			Members: int(sibling.Members),
			Part:    fraction(sibling.Part),
		})
	}
	return reply
}

// amount returns an amount from another instance, or 0 if it is no sensible number.
func amount(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

func fraction(x float64) float64 { return min(amount(x), 1) }

// milliseconds returns a time from another instance, within bounds.
func milliseconds(ms int64) time.Duration {
	const bound = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(max(ms, 0), bound)) * time.Millisecond
}

var (
	_ allotmentpb.Allotment = Server{}
	_ Parent                = Remote{}
)
