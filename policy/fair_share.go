package policy

// Priorities of requests: LowestPriority is the least urgent, DefaultPriority that of
// requests which state none, as engines assume it without the header.
const (
	LowestPriority  = 9
	DefaultPriority = 5
)

// FairShares orders organisations of one priority by start-time fair queueing, in tokens.
// Unlike FairQueue it does not hold the requests: an organisation chooses by itself, by
// slack, which of its requests uses its turn.
//
// It answers a load in which one organisation sends several times its usual load: without
// it, that organisation's overdue and returned requests take the place of the others'.
type FairShares struct {
	// virtualTime is the virtual start time of the request served last, maxFinish the
	// highest virtual finish time.
	virtualTime float64
	maxFinish   float64
}

// Share is the account of one organisation.
type Share struct {
	start, finish float64
}

// Join records that an organisation without queued requests has got one.
func (f *FairShares) Join(s *Share) { s.start = max(f.virtualTime, s.finish) }

// Serve charges a request of cost tokens that is granted. idle is set if no organisation
// has further queued requests; then none is owed service.
func (f *FairShares) Serve(s *Share, cost float64, idle bool) {
	f.virtualTime = max(f.virtualTime, s.start)
	s.finish = s.start + cost
	f.maxFinish = max(f.maxFinish, s.finish)
	if idle {
		f.virtualTime = f.maxFinish
	}
	s.start = max(f.virtualTime, s.finish)
}

// Before reports whether s is to be served before t.
func (s *Share) Before(t *Share) bool { return s.start < t.start }

// Equal reports whether t has been served less than one request, of cost tokens, more than s.
// Capacity is granted in whole requests, so shares differ by that much also when they are
// fair. Among equal shares the slack of the requests decides.
func (s *Share) Equal(t *Share, cost float64) bool {
	return t.start < s.start+cost || t.start == s.start
}
