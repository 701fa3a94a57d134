package lease

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// candidateWindow is the time for which a refused request with a higher
// preference keeps candidates with a lower one from acquiring a free lease. It is
// longer than the interval at which candidates send requests.
const candidateWindow = time.Second

// Record is the replicated state of one lease. An empty Holder means that the
// lease was released. The record is kept so that its token is not reused.
type Record struct {
	Name    string
	Holder  string
	Address string
	Token   uint64
}

// Op is the operation of a Command.
type Op uint8

// Operations of commands.
const (
	OpAcquire Op = iota + 1
	OpRelease
)

// Command changes one record. It takes effect only if the record's token equals
// Replaces (compare-and-swap). An acquisition issues a new token, so of two
// acquisitions that were decided on the same state only one takes effect. A
// release keeps the token and takes effect only while Holder has the lease.
type Command struct {
	Op       Op
	Name     string
	Holder   string
	Address  string
	Replaces uint64
}

// Grantor is the server side of all leases. It is not safe for concurrent use.
type Grantor struct {
	ttl time.Duration

	// Replicated state, by lease name.
	records map[string]Record
	// lastToken is the highest fencing token issued.
	lastToken uint64

	// Local state of the leader, by lease name.
	electedAt  time.Time
	deadlines  map[string]deadline
	candidates map[string]candidate
	// replacedTokens holds the token that a proposed acquisition replaces.
	// Once proposed, that token must not be renewed: the renewal could be
	// confirmed before the acquisition is committed, and two holders would
	// have the lease.
	replacedTokens map[string]uint64
}

// deadline is the expiry of the lease with the given token.
type deadline struct {
	token  uint64
	expiry time.Time
}

// candidate is the most recent request of the preferred candidate for a lease.
type candidate struct {
	holder      string
	preference  uint32
	requestedAt time.Time
}

// NewGrantor returns a Grantor without leases. ttl is the lifetime of a lease.
func NewGrantor(ttl time.Duration) *Grantor {
	g := &Grantor{ttl: ttl, records: map[string]Record{}}
	g.BecomeLeader(time.Time{})
	return g
}

// TTL returns the lifetime of a lease.
func (g *Grantor) TTL() time.Duration {
	return g.ttl
}

// Apply executes a committed command. It returns the record afterwards and
// whether the command took effect.
func (g *Grantor) Apply(c Command) (Record, bool) {
	rec := g.records[c.Name]
	if rec.Token != c.Replaces {
		return rec, false
	}
	if c.Op == OpRelease {
		return g.applyRelease(rec, c)
	}
	g.lastToken++
	rec = Record{Name: c.Name, Holder: c.Holder, Address: c.Address, Token: g.lastToken}
	g.records[c.Name] = rec
	return rec, true
}

func (g *Grantor) applyRelease(rec Record, c Command) (Record, bool) {
	if rec.Holder == "" || rec.Holder != c.Holder {
		return rec, false
	}
	rec.Holder = ""
	rec.Address = ""
	g.records[c.Name] = rec
	return rec, true
}

// BecomeLeader starts a term as leader. It treats every lease as renewed at
// now.
func (g *Grantor) BecomeLeader(now time.Time) {
	g.electedAt = now
	g.deadlines = map[string]deadline{}
	g.candidates = map[string]candidate{}
	g.replacedTokens = map[string]uint64{}
}

// Action is the decision on an acquisition.
type Action uint8

// Decisions on an acquisition.
const (
	// Refuse: another holder has the lease, or a candidate with a higher
	// preference requested it recently.
	Refuse Action = iota + 1
	// Propose: commit the returned command, then call Renew.
	Propose
	// Confirm: the requester already holds the lease. Confirm that this member
	// still leads, then call Renew.
	Confirm
)

// Decision is the result of Acquire.
type Decision struct {
	Action  Action
	Command Command
	// Record is the lease's record at the time of the decision.
	Record Record
}

// Acquire decides on a request for a lease. While the lease is free, the
// candidate with the highest preference wins.
func (g *Grantor) Acquire(name, holder, address string, preference uint32, now time.Time) Decision {
	rec := g.records[name]
	replaced := rec.Token != 0 && g.replacedTokens[name] == rec.Token
	if rec.Holder == holder && holder != "" && !replaced {
		return Decision{Action: Confirm, Record: rec}
	}
	if rec.Holder != "" && !replaced && now.Before(g.Deadline(name)) {
		g.recordCandidate(name, candidate{holder, preference, now})
		return Decision{Action: Refuse, Record: rec}
	}
	if !g.recordCandidate(name, candidate{holder, preference, now}) {
		return Decision{Action: Refuse, Record: rec}
	}
	g.replacedTokens[name] = rec.Token
	cmd := Command{Op: OpAcquire, Name: name, Holder: holder, Address: address, Replaces: rec.Token}
	return Decision{Action: Propose, Command: cmd, Record: rec}
}

// recordCandidate stores c unless a recent candidate has a higher preference, and
// reports whether it did.
func (g *Grantor) recordCandidate(name string, c candidate) bool {
	best, ok := g.candidates[name]
	recent := ok && c.requestedAt.Sub(best.requestedAt) < candidateWindow
	if recent && best.holder != c.holder && best.preference > c.preference {
		return false
	}
	g.candidates[name] = c
	return true
}

// Renew extends the lease of the given holder and token to one lifetime from
// requestedAt, the time at which the request arrived. Since then the caller must
// have committed the acquisition or confirmed that it still leads. It reports
// false if the record has another holder or token, or if an acquisition that
// replaces the token was proposed.
func (g *Grantor) Renew(name, holder string, token uint64, requestedAt time.Time) (Record, bool) {
	rec := g.records[name]
	if rec.Holder == "" || rec.Holder != holder || rec.Token != token || g.replacedTokens[name] == token {
		return rec, false
	}
	expiry := requestedAt.Add(g.ttl)
	if d := g.deadlines[name]; d.token != token || expiry.After(d.expiry) {
		g.deadlines[name] = deadline{token: token, expiry: expiry}
	}
	return rec, true
}

// Deadline returns the time from which on another holder may acquire the lease.
func (g *Grantor) Deadline(name string) time.Time {
	elected := g.electedAt.Add(g.ttl)
	d, ok := g.deadlines[name]
	if !ok || d.token != g.records[name].Token || d.expiry.Before(elected) {
		return elected
	}
	return d.expiry
}

// Get returns the record of a lease. ok is false if nobody holds it.
func (g *Grantor) Get(name string) (rec Record, ok bool) {
	rec = g.records[name]
	return rec, rec.Holder != ""
}

// Held returns the records that have a holder, sorted by name.
func (g *Grantor) Held() []Record {
	var out []Record
	for _, rec := range g.Records() {
		if rec.Holder != "" {
			out = append(out, rec)
		}
	}
	return out
}

// Records returns all records, sorted by name.
func (g *Grantor) Records() []Record {
	out := slices.Collect(maps.Values(g.records))
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// LastToken returns the highest fencing token issued.
func (g *Grantor) LastToken() uint64 {
	return g.lastToken
}

// Restore replaces the replicated state. It also discards the local state, so
// that every lease counts as renewed at the time of the last election.
func (g *Grantor) Restore(records []Record, lastToken uint64) {
	g.records = make(map[string]Record, len(records))
	for _, rec := range records {
		g.records[rec.Name] = rec
	}
	g.lastToken = lastToken
	g.BecomeLeader(g.electedAt)
}
