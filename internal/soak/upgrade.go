package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The orders in which the daemons of a system change their build.
const (
	EntriesFirst = "entries-first"
	CoreFirst    = "core-first"
	Interleaved  = "interleaved"
)

// UpgradeOrders lists all orders.
var UpgradeOrders = []string{EntriesFirst, CoreFirst, Interleaved}

// The ends of an upgrade: all daemons have the new build; those that had it have gone back;
// or they have gone back and the upgrade was then done again.
const (
	UpgradeForward = "forward"
	UpgradeBack    = "back"
	UpgradeAgain   = "again"
)

// UpgradeEnds lists all ends.
var UpgradeEnds = []string{UpgradeForward, UpgradeBack, UpgradeAgain}

// Upgrade is a change of the build of all daemons, one after the other, during a run.
type Upgrade struct {
	// From is the build with which the run begins.
	From Build
	// Order is one of UpgradeOrders and End one of UpgradeEnds; drawn if empty.
	Order, End string
}

// ending is how the old process of a step ends.
type ending int

const (
	stopped ending = iota
	killed
	// killedStopping is a kill while the process stops.
	killedStopping
)

// disk is what becomes of the disk of a core daemon in a step.
type disk int

const (
	kept disk = iota
	emptied
	// replaced is an empty disk at another address: another VM takes the daemon's place.
	replaced
)

// upgradeStep changes the build of one daemon.
type upgradeStep struct {
	core   bool
	target int
	// back is set if the daemon gets the earlier build again.
	back bool
	ends ending
	disk disk
	// killedStarting is set if the new process is killed while it starts, and started again.
	killedStarting bool
	// killAfter is the time from the signal or the start until a kill.
	killAfter time.Duration
	// pause is the time until the next step.
	pause time.Duration
}

// killed reports whether a process of the step is killed.
func (u upgradeStep) killed() bool { return u.ends != stopped || u.killedStarting }

func (u upgradeStep) String() string {
	verb, daemon := "upgrade", "entry"
	if u.back {
		verb = "go back"
	}
	if u.core {
		daemon = "core"
	}
	words := []string{fmt.Sprintf("%s %s-%d", verb, daemon, u.target)}
	words = append(words, [...]string{"", "killed", "killed while stopping"}[u.ends], [...]string{"", "emptied", "at another address"}[u.disk])
	if u.killedStarting {
		words = append(words, "killed while starting")
	}
	words = slices.DeleteFunc(words, func(w string) bool { return w == "" })
	return strings.Join(words, ", ")
}

const (
	maxUpgradePause = 700 * time.Millisecond
	// killedShare, killedStoppingShare and killedStartingShare are the shares of the steps in
	// which the old process is killed at once, the old one while it stops, and the new one
	// while it starts; emptiedShare and replacedShare those of the steps of core daemons in
	// which the disk is emptied, and another VM takes the daemon's place.
	killedShare, killedStoppingShare, killedStartingShare = 0.2, 0.15, 0.15
	emptiedShare, replacedShare                           = 0.15, 0.25
	// maxKillDelay is the longest time from the signal or the start until a kill.
	maxKillDelay = 600 * time.Millisecond
)

// planUpgrade returns the steps of an upgrade. They depend only on the arguments.
func planUpgrade(seed uint64, u *Upgrade, entries, cores int) []upgradeStep {
	random := rand.New(rand.NewPCG(seed, 2))
	order, end := UpgradeOrders[random.IntN(len(UpgradeOrders))], UpgradeEnds[random.IntN(len(UpgradeEnds))]
	if u.Order != "" {
		order = u.Order
	}
	if u.End != "" {
		end = u.End
	}
	var steps []upgradeStep
	for _, i := range random.Perm(entries) {
		steps = append(steps, upgradeStep{target: i})
	}
	for _, i := range random.Perm(cores) {
		steps = append(steps, upgradeStep{core: true, target: i})
	}
	switch order {
	case CoreFirst:
		steps = slices.Concat(steps[entries:], steps[:entries])
	case Interleaved:
		random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	}
	if end != UpgradeForward {
		done := steps[:1+random.IntN(len(steps))]
		var back []upgradeStep
		for _, s := range slices.Backward(done) {
			s.back = true
			back = append(back, s)
		}
		again := steps
		steps = slices.Concat(done, back)
		if end == UpgradeAgain {
			steps = append(steps, again...)
		}
	}
	for i := range steps {
		s := &steps[i]
		switch draw := random.Float64(); {
		case draw < killedShare:
			s.ends = killed
		case draw < killedShare+killedStoppingShare:
			s.ends = killedStopping
		}
		s.killedStarting = random.Float64() < killedStartingShare
		s.killAfter = time.Duration(random.Int64N(int64(maxKillDelay)))
		if draw := random.Float64(); s.core && draw < emptiedShare {
			s.disk = emptied
		} else if s.core && draw < emptiedShare+replacedShare {
			s.disk = replaced
		}
		s.pause = time.Duration(random.Int64N(int64(maxUpgradePause)))
	}
	return steps
}
