package policy

import "time"

// QueueForecast forecasts how long requests wait for memory, from the rates, in
// pieces a second, at which memory becomes free and at which new requests ask for
// it.
//
// It answers bursts that exceed the pool's capacity: requests that can no longer
// be on time yield to new ones, so what counts for them is the rate that new ones
// leave. Forecast at the whole release rate, their waits look short until the
// longest wait is over and every refusal comes as late as it can.
type QueueForecast struct {
	ReleaseRate float64
	ArrivalRate float64
}

// minDrainShare is the share of the released memory that is assumed to remain for
// requests that yield. A burst may end at any time.
const minDrainShare = 0.05

// Behind returns the forecast for requests that get what requests of higher priorities
// leave, which ask for memory at the given rate.
func (f QueueForecast) Behind(rate float64) QueueForecast {
	if rate > 0 {
		f.ReleaseRate = max(minDrainShare*f.ReleaseRate, f.ReleaseRate-rate)
	}
	return f
}

// Wait returns the forecast wait of a request behind others that need ahead
// pieces. yields is set when every new request is served before it. Without a
// release rate nothing is known and the wait is 0.
func (f QueueForecast) Wait(ahead int, yields bool) time.Duration {
	if ahead <= 0 || f.ReleaseRate <= 0 {
		return 0
	}
	rate := f.ReleaseRate
	if yields {
		rate = max(minDrainShare*rate, rate-f.ArrivalRate)
	}
	return Seconds(float64(ahead) / rate)
}
