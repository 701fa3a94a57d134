package policy

import "time"

// LeftVersions remembers the versions that processes have left while they ran. A stream whose
// entry does not record changes in the middle of a run may have gone on with others. It is
// not safe for concurrent use.
type LeftVersions struct {
	at map[RunVersions]time.Duration
}

// leftVersionsDelay is the time after a change in which entries may still record the versions
// before it.
const leftVersionsDelay = 3 * time.Second

// Left records that a process has left versions at a time.
func (l *LeftVersions) Left(v RunVersions, now time.Duration) {
	if l.at == nil {
		l.at = map[RunVersions]time.Duration{}
	}
	for known, at := range l.at {
		if now-at > streamVersionTTL {
			delete(l.at, known)
		}
	}
	l.at[v] = now
}

// MayHaveChanged reports whether a process may have left the versions after a stream was
// recorded there.
func (l *LeftVersions) MayHaveChanged(v RunVersions, recordedAt time.Duration) bool {
	at, left := l.at[v]
	return left && recordedAt < at+leftVersionsDelay
}
