package forward

import "strings"

// payer tells what a request to an upstream was charged to.
type payer uint8

const (
	// payerFree: the first run of a caller's request, or the first prefill call that an
	// engine accepted.
	payerFree payer = iota
	// payerEntry: the entry's part of the retry budget.
	payerEntry
	// payerScheduler: the scheduler's part of the retry budget.
	payerScheduler
	// payerNone: charged to the entry after the fact, whether or not anything was left.
	payerNone

	payerCount
)

var payerNames = [payerCount]string{"free", "entry", "scheduler", "none"}

// payers counts the requests to upstreams by what they were charged to.
type payers [payerCount]int

// String returns the counts that are not 0, for the log.
func (p *payers) String() string {
	var list []string
	for i, n := range p {
		if n > 0 {
			list = append(list, payerNames[i]+"="+itoa(n))
		}
	}
	return strings.Join(list, ",")
}

func (x *exchange) recordPayer(p payer) {
	x.payers[p]++
	x.s.vars.payers.Add(payerNames[p], 1)
}
