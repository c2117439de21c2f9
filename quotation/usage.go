package quotation

import "time"

// Usage is the load that instances put on one engine.
type Usage struct {
	Address string
	// Slots are decode slots, Tokens prompt tokens in prefill, Bytes the KV
	// cache on the engine's link.
	Slots  int64
	Tokens int64
	Bytes  int64
}

// Add returns the usage with sign times another one added.
func (u Usage) Add(other Usage, sign int64) Usage {
	u.Slots += sign * other.Slots
	u.Tokens += sign * other.Tokens
	u.Bytes += sign * other.Bytes
	return u
}

// IsZero tells whether there is no load.
func (u Usage) IsZero() bool { return u.Slots == 0 && u.Tokens == 0 && u.Bytes == 0 }

// toldFor is how long the usage of other instances is believed over the
// engine's own report.
const toldFor = 300 * time.Millisecond

// LocalUsage returns the load that this instance puts on engines.
func (b *Placer) LocalUsage() []Usage {
	var own []Usage
	b.tallies.Range(func(address, value any) bool {
		t := value.(*tally)
		usage := Usage{
			Address: address.(string),
			Slots:   t.slots.value.Load(),
			Tokens:  t.tokens.value.Load(),
			Bytes:   t.bytes.Load(),
		}
		if !usage.IsZero() {
			own = append(own, usage)
		}
		return true
	})
	return own
}

// SetRemoteUsage takes in the load that the other instances put on the given engines;
// engines that are not in usages have none. For a short time it replaces what
// the engines report themselves.
func (b *Placer) SetRemoteUsage(engines []string, usages map[string]Usage, now time.Time) {
	for _, address := range engines {
		usage := usages[address]
		b.tally(address).others.Store(&told{
			slots:  usage.Slots,
			tokens: usage.Tokens,
			bytes:  usage.Bytes,
			at:     now,
		})
	}
}
