package allotment

// bucket is a token bucket. The zero value is empty.
type bucket struct{ level float64 }

// refill adds an amount, up to the capacity.
func (b *bucket) refill(amount, capacity float64) { b.level = min(b.level+amount, capacity) }
