package crew

import (
	"time"

	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/kiln"
)

// The units of load reports in peer messages. queuedUnit is in tokens, rateUnit in
// tokens per second.
const (
	ageUnit        = 4 * time.Millisecond
	queuedUnit     = 64
	stepUnitMS     = 0.25
	rateUnit       = 256
	maxColumnValue = 1<<32 - 1
)

func (r instanceRecord) toProto() *crewpb.InstanceRecord {
	return &crewpb.InstanceRecord{
		Id:         r.id,
		Address:    r.address,
		DataCentre: r.dataCentre,
		Region:     r.region,
		Leaving:    r.leaving,
		UpAtMs:     uint64(r.liveness.upAt),
		DownAtMs:   uint64(r.liveness.downAt),
	}
}

func instanceFromProto(m *crewpb.InstanceRecord) instanceRecord {
	return instanceRecord{
		id:         m.GetId(),
		address:    m.GetAddress(),
		dataCentre: m.GetDataCentre(),
		region:     m.GetRegion(),
		leaving:    m.GetLeaving(),
		liveness: liveness{
			upAt:   int64(m.GetUpAtMs()),
			downAt: int64(m.GetDownAtMs()),
		},
	}
}

func (r serverRecord) toProto() *crewpb.ServerRecord {
	return &crewpb.ServerRecord{
		Name:               r.name,
		Incarnation:        r.incarnation,
		Leaving:            r.leaving,
		LeavingIncarnation: r.leavingIncarnation,
		UpAtMs:             uint64(r.liveness.upAt),
		DownAtMs:           uint64(r.liveness.downAt),
		TraitsAtMs:         uint64(r.traits.at),
		Role:               string(r.traits.role),
		Slots:              uint32(r.traits.slots),
		Pieces:             uint32(r.traits.pieces),
		Models:             r.traits.models,
	}
}

func serverFromProto(m *crewpb.ServerRecord) serverRecord {
	return serverRecord{
		name:               m.GetName(),
		incarnation:        m.GetIncarnation(),
		leaving:            m.GetLeaving(),
		leavingIncarnation: m.GetLeavingIncarnation(),
		liveness: liveness{
			upAt:   int64(m.GetUpAtMs()),
			downAt: int64(m.GetDownAtMs()),
		},
		traits: traits{
			at:     int64(m.GetTraitsAtMs()),
			role:   kiln.Role(m.GetRole()),
			slots:  int(m.GetSlots()),
			pieces: int(m.GetPieces()),
			models: m.GetModels(),
		},
	}
}

// recordsFromProto returns the records of a message as an event.
func recordsFromProto(g *crewpb.Gossip, now time.Time) RecordsReceived {
	e := RecordsReceived{
		At: now,
	}
	for _, m := range g.GetInstances() {
		e.instances = append(e.instances, instanceFromProto(m))
	}
	for _, m := range g.GetServers() {
		e.servers = append(e.servers, serverFromProto(m))
	}
	return e
}

func loadsFromProto(g *crewpb.Gossip) []serverLoad {
	at := time.UnixMilli(int64(g.GetAtMs()))
	loads := decodeLoads(nil, g.GetDecode(), at)
	loads = decodeLoads(loads, g.GetPrefill(), at)
	return decodeLoads(loads, g.GetOther(), at)
}

func decodeLoads(loads []serverLoad, m *crewpb.Loads, at time.Time) []serverLoad {
	for i, key := range m.GetServer() {
		loads = append(loads, serverLoad{
			key: key,
			load: kiln.LoadReport{
				At:              at.Add(-time.Duration(column(m.GetAge(), i)) * ageUnit),
				SlotsUsed:       int(column(m.GetSlotsUsed(), i)),
				PiecesUsed:      int(column(m.GetPiecesUsed(), i)),
				QueuedTokens:    int(column(m.GetQueued(), i)) * queuedUnit,
				StepMS:          float64(column(m.GetStep(), i)) * stepUnitMS,
				TokensPerSecond: float64(column(m.GetRate(), i)) * rateUnit,
			},
		})
	}
	return loads
}

func column(values []uint32, i int) uint32 {
	if i >= len(values) {
		return 0
	}
	return values[i]
}

// setLoads writes loads to a message. It groups them by the kind of load so that
// columns without a value in a group are omitted.
func setLoads(g *crewpb.Gossip, loads []serverLoad) {
	var decode, prefill, other []serverLoad
	for _, l := range loads {
		generates := l.load.SlotsUsed > 0 || l.load.StepMS > 0
		prefills := l.load.QueuedTokens > 0 || l.load.TokensPerSecond > 0
		switch {
		case generates && !prefills:
			decode = append(decode, l)
		case prefills && !generates:
			prefill = append(prefill, l)
		default:
			other = append(other, l)
		}
	}
	at := time.UnixMilli(int64(g.GetAtMs()))
	g.Decode = encodeLoads(decode, at)
	g.Prefill = encodeLoads(prefill, at)
	g.Other = encodeLoads(other, at)
}

func encodeLoads(loads []serverLoad, at time.Time) *crewpb.Loads {
	if len(loads) == 0 {
		return nil
	}
	m := &crewpb.Loads{}
	for _, l := range loads {
		m.Server = append(m.Server, l.key)
		m.Age = append(m.Age, clamp(float64(at.Sub(l.load.At)/ageUnit)))
		m.SlotsUsed = append(m.SlotsUsed, clamp(float64(l.load.SlotsUsed)))
		m.PiecesUsed = append(m.PiecesUsed, clamp(float64(l.load.PiecesUsed)))
		m.Queued = append(m.Queued, clamp(float64((l.load.QueuedTokens+queuedUnit-1)/queuedUnit)))
		m.Step = append(m.Step, clamp(l.load.StepMS/stepUnitMS))
		m.Rate = append(m.Rate, clamp(l.load.TokensPerSecond/rateUnit))
	}
	m.SlotsUsed = dropZeros(m.SlotsUsed)
	m.PiecesUsed = dropZeros(m.PiecesUsed)
	m.Queued = dropZeros(m.Queued)
	m.Step = dropZeros(m.Step)
	m.Rate = dropZeros(m.Rate)
	return m
}

func clamp(v float64) uint32 {
	return uint32(min(max(v, 0), maxColumnValue))
}

func dropZeros(values []uint32) []uint32 {
	for _, v := range values {
		if v != 0 {
			return values
		}
	}
	return nil
}
