package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults.
const (
	killEntry   kind = "kill-entry"
	stopEntry   kind = "stop-entry"
	pauseEntry  kind = "pause-entry"
	killCore    kind = "kill-core"
	stopCore    kind = "stop-core"
	pauseCore   kind = "pause-core"
	wipeCore    kind = "wipe-core"
	killAll     kind = "kill-all-cores"
	crashRunner kind = "crash-runner"
	leaveRunner kind = "leave-runner"
	resetLinks  kind = "reset-links"
	silentLinks kind = "silent-links"
	delayLinks  kind = "delay-links"
	oneWayLink  kind = "one-way-link"
	hangUp      kind = "hang-up"
	change      kind = "change-config"
	race        kind = "race-config"
)

// Kinds lists all kinds, for the command line.
func Kinds() []string {
	var names []string
	for _, k := range allKinds {
		names = append(names, string(k))
	}
	return names
}

var allKinds = []kind{
	killEntry, stopEntry, pauseEntry, killCore, stopCore, pauseCore, wipeCore, killAll, crashRunner, leaveRunner,
	resetLinks, silentLinks, delayLinks, oneWayLink, hangUp, change, race,
}

// fault is one entry of the schedule.
type fault struct {
	at     time.Duration
	kind   kind
	target int
	last   time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s target %d for %.2fs", f.at.Seconds(), f.kind, f.target, f.last.Seconds())
}

const (
	// faultGap is the mean time between two faults; faults last up to maxLast,
	// so that several overlap.
	faultGap = 1100 * time.Millisecond
	minLast  = 300 * time.Millisecond
	maxLast  = 4 * time.Second
	// firstFault leaves time for a calm start.
	firstFault = 2 * time.Second
)

// plan draws the schedule of a run. It depends on its arguments alone.
func plan(seed uint64, duration time.Duration, kinds []kind) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []fault
	for at := firstFault; at < duration; at += time.Duration(random.ExpFloat64() * float64(faultGap)) {
		faults = append(faults, fault{
			at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 16),
			last: minLast + time.Duration(random.Int64N(int64(maxLast-minLast))),
		})
	}
	return bearable(faults)
}

// bearable drops faults of core daemons that would lose more of them at once
// than the group tolerates, with the time to catch up.
func bearable(faults []fault) []fault {
	const catchUp = 4 * time.Second
	var busy []fault
	return slices.DeleteFunc(faults, func(f fault) bool {
		if !slices.Contains([]kind{killCore, stopCore, pauseCore, wipeCore, killAll}, f.kind) {
			return false
		}
		lost := 0
		for _, b := range busy {
			if f.at < b.at+b.last+catchUp {
				lost++
				if b.kind == killAll || f.kind == killAll {
					return true
				}
			}
		}
		if lost >= tolerated {
			return true
		}
		busy = append(busy, f)
		return false
	})
}
