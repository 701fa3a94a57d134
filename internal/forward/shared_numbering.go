package forward

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// numberingStates are the states of a numbering that entries compare.
type numberingStates struct{ steps, starts policy.NumberingState }

func (n *numbering) states() numberingStates {
	return numberingStates{n.steps.State(), n.starts.State()}
}

// otherVersion tells how the events of other software versions of a service are numbered.
// The caller holds mu.
func (n *eventNumbering) otherVersion(key numberingKey) (known struct{ steps, starts bool }) {
	for other, numbering := range n.byKey {
		if other.service == key.service && other != key {
			known.steps = known.steps || numbering.steps.OneByOne()
			known.starts = known.starts || numbering.starts.OneByOne()
		}
	}
	return known
}

// likelyOneByOne reports whether a stream that has broken off should go on with the next
// number, though too few streams of its software version were seen: another version of the
// service numbers events one by one, and nothing says that this one does not. The caller
// holds mu.
func (n *eventNumbering) likelyOneByOne(key numberingKey, known *numbering, now time.Duration) bool {
	return known.steps.Unknown(now) && known.starts.Unknown(now) && n.otherVersion(key).steps
}

// noteChanges reports a numbering to the hubs at once if it isn't as before. The caller
// holds the mutex of s.numbering.
func (s *Server) noteChanges(key numberingKey, n *numbering, before numberingStates) {
	if n.states() == before {
		return
	}
	if s.numbering.unreported == nil {
		s.numbering.unreported = map[numberingKey]bool{}
	}
	s.numbering.unreported[key] = true
	s.logNumbering(key, n, "own streams")
	s.reportNow.signal()
}

func (s *Server) logNumbering(key numberingKey, n *numbering, source string) {
	s.opts.Logger.Info().Str("event", "numbering.changed").Str("service", key.service).Str("version", key.version).
		Bool("steps", n.steps.OneByOne()).Bool("starts", n.starts.OneByOne()).
		Uint32("steps_changes", n.steps.State().Changes).Uint32("starts_changes", n.starts.State().Changes).Str("source", source).Msg("")
}

// takeEventNumberings returns what was learned or unlearned since the previous call.
func (s *Server) takeEventNumberings() []*pb.EventNumbering {
	s.numbering.mu.Lock()
	defer s.numbering.mu.Unlock()
	var list []*pb.EventNumbering
	for key := range s.numbering.unreported {
		list = append(list, encodeNumbering(key, s.numbering.byKey[key]))
	}
	s.numbering.unreported = nil
	return list
}

// EventNumberings returns all that is known of how events are numbered.
func (s *Server) EventNumberings() []*pb.EventNumbering {
	s.numbering.mu.Lock()
	defer s.numbering.mu.Unlock()
	var list []*pb.EventNumbering
	for key, n := range s.numbering.byKey {
		if n.states() != (numberingStates{}) {
			list = append(list, encodeNumbering(key, n))
		}
	}
	return list
}

// SetEventNumberings applies what other entries have learned or unlearned.
func (s *Server) SetEventNumberings(list []*pb.EventNumbering) {
	s.numbering.mu.Lock()
	defer s.numbering.mu.Unlock()
	for _, m := range list {
		key := numberingKey{m.Service, m.Version}
		n := s.numbering.get(key)
		if n == nil {
			continue
		}
		steps, starts := n.steps.Merge(policy.NumberingState{Changes: m.Steps, Alone: m.StepsAlone}),
			n.starts.Merge(policy.NumberingState{Changes: m.Starts, Alone: m.StartsAlone})
		if steps || starts {
			s.logNumbering(key, n, "hub")
		}
	}
}

func encodeNumbering(key numberingKey, n *numbering) *pb.EventNumbering {
	steps, starts := n.steps.State(), n.starts.State()
	return &pb.EventNumbering{
		Service: key.service, Version: key.version, Steps: steps.Changes, StepsAlone: steps.Alone,
		Starts: starts.Changes, StartsAlone: starts.Alone,
	}
}
