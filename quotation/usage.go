package quotation

import "time"

// Usage is the load that one or more instances put on an engine.
type Usage struct {
	Address string
	// Slots counts decode slots, Tokens prompt tokens in prefill, and Bytes the KV
	// cache in transfer on the engine's link.
	Slots  int64
	Tokens int64
	Bytes  int64
}

// Add returns u + sign*other.
func (u Usage) Add(other Usage, sign int64) Usage {
	u.Slots += sign * other.Slots
	u.Tokens += sign * other.Tokens
	u.Bytes += sign * other.Bytes
	return u
}

// IsZero reports whether there is no load.
func (u Usage) IsZero() bool { return u.Slots == 0 && u.Tokens == 0 && u.Bytes == 0 }

// remoteUsageTTL is how long the usage that other instances sent takes precedence
// over the engine's own report.
const remoteUsageTTL = 300 * time.Millisecond

// LocalUsage returns the load that this instance puts on engines.
func (p *Placer) LocalUsage() []Usage {
	var usages []Usage
	p.loads.Range(func(address, value any) bool {
		load := value.(*engineLoad)
		usage := Usage{
			Address: address.(string),
			Slots:   load.slots.value.Load(),
			Tokens:  load.prefillTokens.value.Load(),
			Bytes:   load.linkBytes.Load(),
		}
		if !usage.IsZero() {
			usages = append(usages, usage)
		}
		return true
	})
	return usages
}

// SetRemoteUsage sets the load that the other instances put on the given engines;
// engines that are not in usages have none. It replaces the engines' own reports
// for remoteUsageTTL.
func (p *Placer) SetRemoteUsage(engines []string, usages map[string]Usage, now time.Time) {
	for _, address := range engines {
		usage := usages[address]
		p.load(address).remote.Store(&remoteUsage{
			slots:  usage.Slots,
			tokens: usage.Tokens,
			bytes:  usage.Bytes,
			at:     now,
		})
	}
}
