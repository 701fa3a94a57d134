package policy

// NumberingState is what entries tell each other of an EventNumbering.
type NumberingState struct {
	// Changes counts how often it was learned or unlearned, by any entry: an odd number if
	// the events are numbered one by one, 0 if nothing is known.
	Changes uint32
	// Alone is set while only one upstream has taught it. It then takes two streams with a
	// gap within gapMemory to unlearn it, from whichever upstream.
	Alone bool
}

// OneByOne reports whether the events are known to be numbered one by one.
func (s NumberingState) OneByOne() bool { return s.Changes%2 == 1 }

// Merge applies another state if it is newer, and reports whether it is. The higher number
// of changes holds and, of two that are the same, what more than one upstream has taught. So
// those who have heard the same agree, in whatever order they did.
func (s *NumberingState) Merge(other NumberingState) bool {
	newer := other.Changes > s.Changes || other.Changes == s.Changes && s.Alone && !other.Alone
	if newer {
		*s = other
	}
	return newer
}
