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
// comes back, so that the capacity of the run stays the same but for the gap.
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

// scheduledFault is one fault of a schedule.
type scheduledFault struct {
	at     time.Duration
	target int
	fault  standin.Fault
}

// faultSchedule draws faults at exponential distances for the upstreams of the
// fleet, in the order of the fleet.
func faultSchedule(seed uint64, fleet []standin.Settings, mean, d time.Duration) []scheduledFault {
	random := rand.New(rand.NewPCG(seed, 1<<32))
	var schedule []scheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(mean))
		if at >= d {
			return schedule
		}
		target := random.IntN(len(fleet))
		kinds := faultsByRole[fleet[target].Role]
		schedule = append(schedule, scheduledFault{at: at, target: target, fault: kinds[random.IntN(len(kinds))]})
	}
}

// injectFaults follows the schedule of the run.
func (r *runner) injectFaults(ctx context.Context) {
	if r.FaultInterval <= 0 {
		return
	}
	for _, f := range faultSchedule(r.Seed, r.Workload.Fleet, r.FaultInterval, r.Duration) {
		if sleep(ctx, time.Until(r.caller.start.Add(f.at))) != nil {
			return
		}
		// A stand-in that is down takes no further fault.
		_ = postFault(ctx, r.Upstreams[f.target%len(r.Upstreams)], f.fault)
	}
}

func postFault(ctx context.Context, url string, f standin.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, statTimeout)
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
