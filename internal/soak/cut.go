package soak

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// The kinds of faults that cut entries off from all runners. Connections hang, are reset, or
// live on while new ones are refused.
const (
	cutEntryHang   faultKind = "cut-entry-hang"
	cutEntryReset  faultKind = "cut-entry-reset"
	cutEntryRefuse faultKind = "cut-entry-refuse"
)

var cutFaultKinds = []faultKind{cutEntryHang, cutEntryReset, cutEntryRefuse}

func cutsEntries(k faultKind) bool { return slices.Contains(cutFaultKinds, k) }

const (
	// longCutTime is added to the duration of most cuts, so that they last beyond
	// contactTime. One in shortCutEvery is shorter.
	longCutTime   = contactTime + 2*time.Second
	shortCutEvery = 5
	// userTimeout is the time after which an entry's system gives up data that was not
	// acknowledged.
	userTimeout     = 1500 * time.Millisecond
	cutPollInterval = 5 * time.Millisecond
)

// setSourceAddresses makes each entry open its connections to runners from its own address,
// if its build can.
func (s *system) setSourceAddresses(ctx context.Context) error {
	builds := []Build{s.newBuild}
	if s.opts.Upgrade != nil {
		builds = append(builds, s.opts.Upgrade.From)
	}
	s.uncuttable = map[Build]bool{}
	for _, b := range builds {
		can, err := b.takesSourceAddress(ctx)
		if err != nil {
			return err
		}
		s.uncuttable[b] = !can
	}
	for i, p := range s.entries {
		p.args = func(b Build) []string {
			if s.uncuttable[b] {
				return nil
			}
			return []string{sourceAddressFlag, s.ip(2, i)}
		}
	}
	return nil
}

// cutEntries cuts some entries off, of those that are not. At least half of all, rounded
// down, stay.
func (s *system) cutEntries(ctx context.Context, f fault) {
	n := len(s.entries)
	limit := (n + 1) / 2
	if n < 2 {
		return
	}
	duration := f.duration
	if f.target%shortCutEvery > 0 {
		duration += longCutTime
	}
	wanted := 1 + f.target/n%limit
	var chosen []int
	s.mu.Lock()
	for i := 0; i < n && len(chosen) < wanted && len(s.cuts) < limit; i++ {
		entry := (f.target + i) % n
		if _, isCut := s.cuts[s.ip(2, entry)]; !isCut && !s.uncuttable[s.entries[entry].buildOfStart()] {
			s.setCut(entry, f.kind)
			chosen = append(chosen, entry)
		}
	}
	s.mu.Unlock()
	if len(chosen) == 0 {
		return
	}
	end := s.cutCheck.cutBegan(f.kind, chosen)
	sleep(ctx, duration)
	end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range chosen {
		s.setCut(entry, "")
	}
}

// setCut changes how an entry is cut off; an empty kind ends it. The caller holds mu.
func (s *system) setCut(entry int, kind faultKind) {
	source := s.ip(2, entry)
	s.cuts[source] = kind
	if kind == "" {
		delete(s.cuts, source)
	}
	for _, r := range s.runners {
		r.proxy.setCut(source, kind)
	}
}

// applyCuts makes a new proxy cut the entries off that are. The caller holds mu.
func (s *system) applyCuts(p *proxy) {
	for source, kind := range s.cuts {
		p.setCut(source, kind)
	}
}

// cutState is the state of a connection whose source may be cut off.
type cutState struct {
	source string
	// silent is set while no data passes, and ended once the connection was closed.
	silent, ended atomic.Bool
}

func newCutState(client net.Conn) cutState {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	return cutState{source: source}
}

// setCut cuts a source off, or ends that.
func (p *proxy) setCut(source string, kind faultKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[source] = kind
	for c := range p.conns {
		if c.source != source {
			continue
		}
		c.silent.Store(kind == cutEntryHang)
		if kind == cutEntryReset {
			c.reset()
		}
	}
}

// add registers a connection, unless its source is cut off and opens none.
func (p *proxy) add(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind := p.cuts[c.source]
	if kind == cutEntryReset || kind == cutEntryRefuse {
		return false
	}
	c.silent.Store(kind == cutEntryHang)
	p.conns[c] = struct{}{}
	return true
}

// waitForPackets returns when data passes. It reports whether data that the entry sent
// before is still delivered.
func (c *proxyConn) waitForPackets() bool {
	began := time.Now()
	for c.silent.Load() && !c.ended.Load() {
		time.Sleep(cutPollInterval)
	}
	return time.Since(began) < userTimeout
}
