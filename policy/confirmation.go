package policy

import "time"

// Confirmation holds what the leader of the core stated last about the newest version of
// the configuration. A version without a revoked key can have been acknowledged only after
// the moment for which a statement names an older one as the newest, so the keys of the
// older one are used for Lifetime after that moment.
//
// Times are of a clock that also advances while the machine is suspended.
type Confirmation struct {
	Lifetime time.Duration
	// newest is the statement with the highest version, and previous that with the highest
	// version before it of use to the entry, while it does not have the newest one.
	newest, previous versionStatement
}

// versionStatement states that a version was the newest one at a time.
type versionStatement struct {
	version uint64
	at      time.Duration
}

// Note records that a version was the newest one at a time, while the entry has the version
// held. Version 0 states nothing.
func (c *Confirmation) Note(version, held uint64, at time.Duration) {
	switch {
	case version == 0:
	case version > c.newest.version:
		if c.newest.version <= held || !c.previous.valid(held, at, c.Lifetime) {
			c.previous = c.newest
		}
		c.newest = versionStatement{version, at}
	case version == c.newest.version:
		c.newest.at = max(c.newest.at, at)
	case version == c.previous.version:
		c.previous.at = max(c.previous.at, at)
	}
}

// Valid reports whether the keys of the version that is held may be used. A version above
// the one that was stated counts as well: its successor was acknowledged even later.
func (c *Confirmation) Valid(held uint64, now time.Duration) bool {
	return c.newest.valid(held, now, c.Lifetime) || c.previous.valid(held, now, c.Lifetime)
}

func (s versionStatement) valid(held uint64, now, lifetime time.Duration) bool {
	return s.version != 0 && s.version <= held && now-s.at < lifetime
}
