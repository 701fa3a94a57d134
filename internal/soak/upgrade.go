package soak

import (
	"context"
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

// upgradeStep changes the build of one daemon.
type upgradeStep struct {
	core   bool
	target int
	// back is set if the daemon gets the earlier build again.
	back bool
	// killed is set if the daemon is killed instead of stopped, and emptied if a core daemon
	// loses its disk meanwhile, as if another VM took its place.
	killed, emptied bool
	// pause is the time until the next step.
	pause time.Duration
}

func (u upgradeStep) String() string {
	words := []string{"upgrade"}
	if u.back {
		words[0] = "go back"
	}
	daemon := "entry"
	if u.core {
		daemon = "core"
	}
	words = append(words, fmt.Sprintf("%s-%d", daemon, u.target))
	if u.killed {
		words = append(words, "killed")
	}
	if u.emptied {
		words = append(words, "emptied")
	}
	return strings.Join(words, " ")
}

const (
	maxUpgradePause = 700 * time.Millisecond
	// killedShare and emptiedShare are the shares of the steps in which the daemon is killed,
	// and of those of core daemons in which it loses its disk.
	killedShare, emptiedShare = 0.3, 0.15
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
		s.killed = random.Float64() < killedShare
		s.emptied = s.core && random.Float64() < emptiedShare
		s.pause = time.Duration(random.Int64N(int64(maxUpgradePause)))
	}
	return steps
}

// runUpgrade takes the steps of an upgrade one after the other. Other faults go on beside
// it, except at the daemon whose build changes.
func (s *system) runUpgrade(ctx context.Context, steps []upgradeStep) {
	for _, step := range steps {
		if ctx.Err() != nil {
			return
		}
		s.takeUpgradeStep(ctx, step)
		sleep(ctx, step.pause)
	}
}

const (
	// readyTimeout is the time in which an entry must be ready after its start.
	readyTimeout = 5 * time.Second
	// coreSettleTime is the time that a core daemon gets to catch up before the next step,
	// and repairTime the same after it has lost its disk.
	coreSettleTime = 2 * time.Second
	repairTime     = 5 * time.Second
)

func (s *system) takeUpgradeStep(ctx context.Context, step upgradeStep) {
	f := fault{kind: stopEntry, target: step.target}
	p := s.entries[step.target%len(s.entries)]
	if step.core {
		f.kind = stopCore
		p = s.cores[step.target%len(s.cores)]
	}
	defer s.lockTargets(f)()
	defer s.cutCheck.disturbed(f, len(s.entries))()
	if step.core || step.killed {
		s.check.faultStarted()
		defer s.check.faultEnded()
	}
	b := s.newBuild
	if step.back {
		b = s.opts.Upgrade.From
	}
	fmt.Fprintf(s.opts.Out, "%s %s to %s\n", time.Now().Format("15:04:05.000"), step, b.Name)
	s.stopAndRestart(ctx, p, 0, func() {
		if step.killed {
			p.kill()
		} else {
			s.terminate(p)
		}
		if step.emptied {
			s.emptyDisk(p)
		}
		p.setBuild(b)
	})
	switch {
	case step.emptied:
		sleep(ctx, repairTime)
	case step.core:
		sleep(ctx, coreSettleTime)
	default:
		s.awaitReady(ctx, p)
	}
}

// awaitReady waits until an entry says that it is ready.
func (s *system) awaitReady(ctx context.Context, p *process) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		if p.node.IsReady(ctx) {
			return
		}
	}
	if ctx.Err() == nil {
		s.check.report("start: %s was not ready %v after its start", p.node.Name, readyTimeout)
	}
}

// noteEntry records which build served a request, and those of the core meanwhile.
func (s *system) noteEntry(id, entryAddress string) {
	if s.opts.Upgrade == nil {
		return
	}
	for _, p := range s.entries {
		if fmt.Sprintf("%s:%d", p.node.IP, p.node.CallerPort) == entryAddress {
			var cores []string
			for _, c := range s.cores {
				cores = append(cores, c.currentBuild())
			}
			s.check.servedBy(id, p.currentBuild(), fmt.Sprintf("%s (%s; core %s)", p.node.Name, p.currentBuild(), strings.Join(cores, ", ")))
		}
	}
}
