package lease

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// candidateWindow is the time for which a refused candidate of higher
// preference keeps others from taking a lease that becomes free. It is longer
// than the interval at which candidates ask.
const candidateWindow = time.Second

// Record is the replicated part of one lease. An empty Holder means that the
// lease was released; the record stays so that its token is not used again.
type Record struct {
	Name    string
	Holder  string
	Address string
	Token   uint64
}

// Op is the kind of a Command.
type Op uint8

// Kinds of commands.
const (
	OpAcquire Op = iota + 1
	OpRelease
)

// Command changes one record. It takes effect only while the record's token
// equals Replaces, so of two commands that were decided on the same state one
// has no effect.
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

	// Replicated.
	records   map[string]Record
	lastToken uint64

	// Local to the leader.
	electedAt  time.Time
	deadlines  map[string]deadline
	candidates map[string]candidate
	// replacing holds the token that a proposed acquisition replaces. From
	// the decision on, that token is not renewed: the renewal could be
	// answered before the acquisition is committed, and both would hold.
	replacing map[string]uint64
}

type deadline struct {
	token uint64
	at    time.Time
}

type candidate struct {
	holder     string
	preference uint32
	at         time.Time
}

// NewGrantor returns a Grantor without leases.
func NewGrantor(ttl time.Duration) *Grantor {
	g := &Grantor{ttl: ttl, records: map[string]Record{}}
	g.Elected(time.Time{})
	return g
}

// TTL returns the lifetime of a lease.
func (g *Grantor) TTL() time.Duration {
	return g.ttl
}

// Apply executes a committed command and reports whether it took effect, with
// the record afterwards.
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

// Elected starts a term as leader: every lease counts as renewed at now.
func (g *Grantor) Elected(now time.Time) {
	g.electedAt = now
	g.deadlines = map[string]deadline{}
	g.candidates = map[string]candidate{}
	g.replacing = map[string]uint64{}
}

// Action is the decision on an acquisition.
type Action uint8

// Decisions on an acquisition.
const (
	// Refuse: another holder has the lease or a better candidate asked for it.
	Refuse Action = iota + 1
	// Propose: commit the returned command, then call Confirmed.
	Propose
	// Confirm: the asker already holds the lease; confirm leadership, then
	// call Confirmed.
	Confirm
)

// Decision answers Acquire.
type Decision struct {
	Action  Action
	Command Command
	// Record is the current record.
	Record Record
}

// Acquire decides on a request for a lease. A larger preference wins while the
// lease is free.
func (g *Grantor) Acquire(name, holder, address string, preference uint32, now time.Time) Decision {
	rec := g.records[name]
	replaced := rec.Token != 0 && g.replacing[name] == rec.Token
	if rec.Holder == holder && holder != "" && !replaced {
		return Decision{Action: Confirm, Record: rec}
	}
	if rec.Holder != "" && !replaced && now.Before(g.Deadline(name)) {
		g.remember(name, candidate{holder, preference, now})
		return Decision{Action: Refuse, Record: rec}
	}
	if !g.remember(name, candidate{holder, preference, now}) {
		return Decision{Action: Refuse, Record: rec}
	}
	g.replacing[name] = rec.Token
	cmd := Command{Op: OpAcquire, Name: name, Holder: holder, Address: address, Replaces: rec.Token}
	return Decision{Action: Propose, Command: cmd, Record: rec}
}

// remember keeps the best recent candidate and reports whether c is it.
func (g *Grantor) remember(name string, c candidate) bool {
	best, ok := g.candidates[name]
	recent := ok && c.at.Sub(best.at) < candidateWindow
	if recent && best.holder != c.holder && best.preference > c.preference {
		return false
	}
	g.candidates[name] = c
	return true
}

// Confirmed extends the lease of the given holder and token. asked is the time
// at which the request arrived; between then and this call the caller has
// committed the acquisition or confirmed that it still leads. It reports false
// when the record has another holder or token, or is being replaced.
func (g *Grantor) Confirmed(name, holder string, token uint64, asked time.Time) (Record, bool) {
	rec := g.records[name]
	if rec.Holder == "" || rec.Holder != holder || rec.Token != token || g.replacing[name] == token {
		return rec, false
	}
	at := asked.Add(g.ttl)
	if d := g.deadlines[name]; d.token != token || at.After(d.at) {
		g.deadlines[name] = deadline{token: token, at: at}
	}
	return rec, true
}

// Deadline returns the moment from which another holder may take the lease.
func (g *Grantor) Deadline(name string) time.Time {
	elected := g.electedAt.Add(g.ttl)
	d, ok := g.deadlines[name]
	if !ok || d.token != g.records[name].Token || d.at.Before(elected) {
		return elected
	}
	return d.at
}

// Get returns the record of one lease; ok is false when nobody holds it.
func (g *Grantor) Get(name string) (rec Record, ok bool) {
	rec = g.records[name]
	return rec, rec.Holder != ""
}

// Held returns the records that have a holder, ordered by name.
func (g *Grantor) Held() []Record {
	var out []Record
	for _, rec := range g.Records() {
		if rec.Holder != "" {
			out = append(out, rec)
		}
	}
	return out
}

// Records returns every record, ordered by name.
func (g *Grantor) Records() []Record {
	out := slices.Collect(maps.Values(g.records))
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// LastToken returns the highest fencing token issued.
func (g *Grantor) LastToken() uint64 {
	return g.lastToken
}

// Restore replaces the replicated state. Local deadlines are dropped, as after
// an election at the time of the last one.
func (g *Grantor) Restore(records []Record, lastToken uint64) {
	g.records = make(map[string]Record, len(records))
	for _, rec := range records {
		g.records[rec.Name] = rec
	}
	g.lastToken = lastToken
	g.Elected(g.electedAt)
}
