package usage

import "time"

const (
	// renewInterval is the time between two calls of an entry.
	renewInterval = 500 * time.Millisecond
	// minCallInterval is the shortest time between the end of a call and the next one:
	// requests that wait meanwhile share it.
	minCallInterval = 10 * time.Millisecond
	// callTimeout bounds a call to the leader. A round trip takes 3 to 15 ms.
	callTimeout = 300 * time.Millisecond
	// failureDelay is the time between a call that failed and the next one.
	failureDelay = 100 * time.Millisecond
	// maxWait is the longest time for which a request waits for the grantor.
	maxWait = 100 * time.Millisecond
	// busyTenants is the number of tenants whose standby terms every entry gets.
	busyTenants = 16
)
