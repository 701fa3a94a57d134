package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/standin"
)

// faultsByRole are the faults that a schedule draws from. A crashed stand-in
// restarts after Seconds, so that the fleet is back at full capacity then.
var faultsByRole = map[string][]standin.Fault{
	standin.RolePrefill: {
		{Kind: standin.FaultStallPrefill, Count: 1},
		{Kind: standin.FaultStallTransfer, Count: 1},
		{Kind: standin.FaultSlow, Factor: 3, Seconds: 2},
		{Kind: standin.FaultSilence},
		{Kind: standin.FaultCrash, Seconds: 2},
		{Kind: standin.FaultRefuse, Count: 3},
	},
	standin.RoleDecode: {
		{Kind: standin.FaultStallTransfer, Count: 1},
		{Kind: standin.FaultSilence},
		{Kind: standin.FaultSlow, Factor: 3, Seconds: 2},
		{Kind: standin.FaultCrash, Seconds: 2},
		{Kind: standin.FaultDuplicate, Count: 40},
		{Kind: standin.FaultLate, Count: 40},
		{Kind: standin.FaultRefuse, Count: 3},
	},
	standin.RolePlain: {
		{Kind: standin.FaultSilence},
		{Kind: standin.FaultSlow, Factor: 5, Seconds: 2},
		{Kind: standin.FaultCrash, Seconds: 1},
		{Kind: standin.FaultRefuse, Count: 3},
	},
}

type scheduledFault struct {
	// at is the time since the start of the run.
	at time.Duration
	// target is an index into the fleet.
	target int
	fault  standin.Fault
}

// faultSchedule draws random faults, with exponentially distributed intervals,
// for random stand-ins of the fleet.
func faultSchedule(seed uint64, fleet []standin.Settings, meanInterval, duration time.Duration) []scheduledFault {
	random := rand.New(rand.NewPCG(seed, 1<<32))
	var schedule []scheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanInterval))
		if at >= duration {
			return schedule
		}
		target := random.IntN(len(fleet))
		faults := faultsByRole[fleet[target].Role]
		schedule = append(schedule, scheduledFault{at: at, target: target, fault: faults[random.IntN(len(faults))]})
	}
}

// injectFaults sends the faults of the schedule to the stand-ins at their
// times.
func (r *runner) injectFaults(ctx context.Context) {
	if r.FaultInterval <= 0 {
		return
	}
	for _, f := range faultSchedule(r.Seed, r.Workload.Fleet, r.FaultInterval, r.Duration) {
		if sleep(ctx, time.Until(r.caller.start.Add(f.at))) != nil {
			return
		}
		// The request fails while the stand-in is down after a crash; that
		// fault is skipped.
		_ = postFault(ctx, r.Upstreams[f.target%len(r.Upstreams)], f.fault)
	}
}

func postFault(ctx context.Context, url string, f standin.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
