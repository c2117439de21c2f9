package plan

// callerLimits maps the names of a table's callers to their limits, for those that have a rate.
type callerLimits map[string]Limits

func newCallerLimits(callers []Caller) callerLimits {
	var list callerLimits
	for _, caller := range callers {
		if caller.Limits.Rate() <= 0 {
			continue
		}
		if list == nil {
			list = callerLimits{}
		}
		list[caller.Name] = caller.Limits
	}
	return list
}

// HasLimits reports whether the rate of any caller is limited.
func (t *Table) HasLimits() bool { return len(t.callerLimits) > 0 }

// CallerLimits returns the limits of a caller, or false if its rate is not limited.
func (t *Table) CallerLimits(name string) (Limits, bool) {
	limits, ok := t.callerLimits[name]
	return limits, ok
}
