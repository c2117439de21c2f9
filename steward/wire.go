package steward

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// maxUsages bounds the number of engines in one exchange.
const maxUsages = 4096

// Exchange handles the exchange request of a peer.
func (h *Hub) Exchange(_ context.Context, req *stewardpb.ExchangeRequest) (*stewardpb.ExchangeReply, error) {
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	if len(req.GetUsages()) > maxUsages {
		return nil, twirp.InvalidArgumentError("usages", "too many engines")
	}
	others := h.Update(req.GetInstance(), fromWire(req.GetUsages()), time.Now())
	return &stewardpb.ExchangeReply{Usages: toWire(others)}, nil
}

func toWire(usages []quotation.Usage) []*stewardpb.Usage {
	wire := make([]*stewardpb.Usage, 0, len(usages))
	for _, usage := range usages {
		wire = append(wire, &stewardpb.Usage{
			Engine: usage.Address,
			Slots:  usage.Slots,
			Tokens: usage.Tokens,
			Bytes:  usage.Bytes,
		})
	}
	return wire
}

func fromWire(wire []*stewardpb.Usage) []quotation.Usage {
	usages := make([]quotation.Usage, 0, len(wire))
	for _, usage := range wire {
		usages = append(usages, quotation.Usage{
			Address: usage.GetEngine(),
			Slots:   usage.GetSlots(),
			Tokens:  usage.GetTokens(),
			Bytes:   usage.GetBytes(),
		})
	}
	return usages
}

var _ stewardpb.Steward = (*Hub)(nil)
