package policy

import "time"

// PathResult is what became of an attempt to reach an upstream on one path: directly, or
// relayed by another daemon.
type PathResult uint8

// Results of attempts.
const (
	// PathUnknown: no attempt was made, or it told nothing about the upstream, for example
	// because no daemon relays.
	PathUnknown PathResult = iota
	// PathFailed: no connection could be made.
	PathFailed
	// PathSilent: a connection on which no answer came in time.
	PathSilent
	// PathReached: an answer or, where none was asked for, a connection.
	PathReached
	// PathBroken: a connection that broke before an answer.
	PathBroken
)

// String returns the name of the result for the log.
func (r PathResult) String() string {
	return [...]string{"unknown", "failed", "silent", "reached", "broken"}[r]
}

// LinkVerdict tells whose fault it is that an upstream is not reached.
type LinkVerdict uint8

// Verdicts.
const (
	LinkUnknown LinkVerdict = iota
	// LinkUp: the upstream is reached directly.
	LinkUp
	// LinkDown: the upstream is reached by another daemon only, so it is sound, and the
	// link between it and this VM is not.
	LinkDown
	// UpstreamDown: nobody reaches the upstream.
	UpstreamDown
)

// JudgeLink compares attempts on both paths at the same time. An upstream that is silent on
// both is slow, or paused; that tells nothing about the link.
func JudgeLink(direct, relayed PathResult) LinkVerdict {
	switch {
	case direct == PathReached:
		return LinkUp
	case direct != PathUnknown && relayed == PathReached:
		return LinkDown
	case direct == PathFailed && relayed == PathFailed:
		return UpstreamDown
	}
	return LinkUnknown
}

// Link is what an entry knows of its link to one upstream.
type Link struct {
	// HeardAt is when bytes last came from the upstream directly; 0 if none have.
	HeardAt time.Duration
	// Down is set by LinkDown and cleared by LinkUp.
	Down bool
	// DownAt is when the attempt began that failed.
	DownAt time.Duration
}

// minCutLinks is the number of links that must be down before an entry takes all for down.
const minCutLinks = 2

// CutOff reports whether an entry has lost its links to all upstreams, judged by some of
// them: since anything was last heard, attempts at several upstreams have begun and failed.
// It answers a partition of one VM, in which it would take a timeout for each further
// upstream to find out.
func CutOff(links []Link) bool {
	lastHeard := time.Duration(0)
	for _, l := range links {
		lastHeard = max(lastHeard, l.HeardAt)
	}
	failed := 0
	for _, l := range links {
		if l.Down && l.DownAt >= lastHeard {
			failed++
		}
	}
	return failed >= minCutLinks
}
