package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// faultKind is the name of a kind of fault, as used on the command line.
type faultKind string

// The kinds of faults.
const (
	killEntry         faultKind = "kill-entry"
	stopEntry         faultKind = "stop-entry"
	pauseEntry        faultKind = "pause-entry"
	killCore          faultKind = "kill-core"
	stopCore          faultKind = "stop-core"
	pauseCore         faultKind = "pause-core"
	wipeCore          faultKind = "wipe-core"
	killAllCores      faultKind = "kill-all-cores"
	crashRunner       faultKind = "crash-runner"
	leaveRunner       faultKind = "leave-runner"
	resetLinks        faultKind = "reset-links"
	silentLinks       faultKind = "silent-links"
	delayLinks        faultKind = "delay-links"
	oneWayLink        faultKind = "one-way-link"
	reloadSettings    faultKind = "hang-up"
	changeConfig      faultKind = "change-config"
	raceConfigChanges faultKind = "race-config"
	// The kinds below are injected only when they are named.
	killAll        faultKind = "kill-all"
	releaseEngines faultKind = "release"
	restartRunner  faultKind = "restart-runner"
	strayEvents    faultKind = "stray-events"
	killRunner     faultKind = "kill-runner"
	changeWeights  faultKind = "change-weights"
	// loseCores ends all core daemons for a while. Engines start again under their ids with other
	// software meanwhile, and an entry ends before the core is back.
	loseCores faultKind = "lose-cores"
)

// FaultKinds returns the names of all kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, k := range slices.Concat(allFaultKinds, namedFaultKinds) {
		names = append(names, string(k))
	}
	return names
}

// allFaultKinds is the default. The schedule of a seed depends on it, so that kinds that
// came later are in namedFaultKinds.
var allFaultKinds = []faultKind{
	killEntry, stopEntry, pauseEntry, killCore, stopCore, pauseCore, wipeCore, killAllCores, crashRunner, leaveRunner,
	resetLinks, silentLinks, delayLinks, oneWayLink, reloadSettings, changeConfig, raceConfigChanges,
}

var namedFaultKinds = slices.Concat([]faultKind{killAll, releaseEngines, restartRunner, strayEvents, killRunner, changeWeights, preemptStreams, changeRole}, wireFaultKinds(), cutFaultKinds, lateReportKinds, statementKinds, []faultKind{deadlyRequest, idleRestart, loseCores}, silenceKinds())

// wireFaultKinds are faults of the answers of all runners.
func wireFaultKinds() []faultKind {
	var kinds []faultKind
	for _, f := range standin.WireFaults {
		kinds = append(kinds, faultKind(f))
	}
	return kinds
}

// needsProcesses reports whether a fault of a kind needs runners that are processes.
func needsProcesses(k faultKind) bool { return k == killRunner || slices.Contains(wireFaultKinds(), k) }

// fault is one entry of the schedule. Its start time is relative to the start of
// the run; the target is reduced modulo the number of possible targets.
type fault struct {
	startAt  time.Duration
	kind     faultKind
	target   int
	duration time.Duration
}

// endsAllCores reports whether the fault ends all core daemons at one moment.
func (f fault) endsAllCores() bool {
	return f.kind == killAllCores || f.kind == killAll || f.kind == loseCores
}

// endsOneCore reports whether the fault makes one core daemon unavailable.
func (f fault) endsOneCore() bool { return endsOneCore(f.kind) }

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s target %d for %.2fs", f.startAt.Seconds(), f.kind, f.target, f.duration.Seconds())
}

const (
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// shorter than maxFaultDuration, so that faults overlap.
	meanFaultInterval = 1100 * time.Millisecond
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// firstFaultAt leaves time for an undisturbed start.
	firstFaultAt = 2 * time.Second
)

// planFaults generates the fault schedule of a run. The result depends only on the
// arguments.
func planFaults(seed uint64, duration time.Duration, kinds []faultKind) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []fault
	for at := firstFaultAt; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		faults = append(faults, fault{
			startAt: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 16),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return limitCoreFaults(planIdle(faults, duration))
}

// catchUpTime is the time for which a core daemon counts as unavailable after a fault.
const catchUpTime = 4 * time.Second

// limitCoreFaults removes faults of core daemons that would make more of them
// unavailable at once than the group tolerates. A daemon counts as unavailable
// until it has had catchUpTime after a fault. killAllCores is kept
// only while no other core daemon is unavailable.
func limitCoreFaults(faults []fault) []fault {
	var kept []fault
	return slices.DeleteFunc(faults, func(f fault) bool {
		if !f.endsOneCore() && !f.endsAllCores() {
			return false
		}
		down := 0
		for _, other := range kept {
			if f.startAt < other.startAt+other.duration+catchUpTime {
				down++
				if other.endsAllCores() || f.endsAllCores() {
					return true
				}
			}
		}
		if down >= faultTolerance {
			return true
		}
		kept = append(kept, f)
		return false
	})
}
